package weldcross.consensus.raft;

import io.microraft.RaftEndpoint;
import weldcross.mesh.PeerName;

/**
 * Identity of a voter in the Raft group. A voter that lost its log continues under a new nonce, so
 * that entries acknowledged by the old identity do not count as acknowledged by the new one. Nonces
 * are random, because a counter could be lost together with the log and then be reused.
 *
 * @param name name of the gateway
 * @param nonce distinguishes identities of the same gateway; zero for founders of the group
 */
record VoterId(PeerName name, long nonce) implements RaftEndpoint {

  private static final int RADIX = 16;
  private static final char SEPARATOR = '#';

  /** Parses an id in the format of {@link #getId}. */
  static VoterId parse(String id) {
    int separator = id.lastIndexOf(SEPARATOR);
    return new VoterId(
        new PeerName(id.substring(0, separator)),
        Long.parseUnsignedLong(id.substring(separator + 1), RADIX));
  }

  /** Returns the identity of a founder. */
  static VoterId founder(PeerName name) {
    return new VoterId(name, 0);
  }

  boolean isFounder() {
    return nonce == 0;
  }

  /**
   * Returns the name, {@code #} and the nonce in hexadecimal; the format on the wire and on disk.
   */
  @Override
  public String getId() {
    return name.name() + SEPARATOR + Long.toHexString(nonce);
  }

  @Override
  public String toString() {
    return getId();
  }
}
