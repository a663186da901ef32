package weldcross.consensus.raft;

import io.microraft.RaftEndpoint;
import weldcross.mesh.PeerName;

/**
 * The identity under which a voter takes part in the group. A voter that lost its log continues
 * under a new nonce, so that nothing the old identity acknowledged counts as acknowledged by the
 * new one. Nonces are drawn at random: a counter could be lost with the log and be counted twice.
 *
 * @param name of the gateway
 * @param nonce zero for the founders of the group
 */
record VoterId(PeerName name, long nonce) implements RaftEndpoint {

  private static final int RADIX = 16;
  private static final char SEPARATOR = '#';

  /** Parses the form of {@link #getId}. */
  static VoterId parse(String id) {
    int separator = id.lastIndexOf(SEPARATOR);
    return new VoterId(
        new PeerName(id.substring(0, separator)),
        Long.parseUnsignedLong(id.substring(separator + 1), RADIX));
  }

  /** The identity of a founder. */
  static VoterId founder(PeerName name) {
    return new VoterId(name, 0);
  }

  boolean isFounder() {
    return nonce == 0;
  }

  /** The name, {@code #} and the nonce in hexadecimal digits; stored and sent in this form. */
  @Override
  public String getId() {
    return name.name() + SEPARATOR + Long.toHexString(nonce);
  }

  @Override
  public String toString() {
    return getId();
  }
}
