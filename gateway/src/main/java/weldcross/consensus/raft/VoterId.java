package weldcross.consensus.raft;

import io.microraft.RaftEndpoint;
import weldcross.mesh.PeerName;

/**
 * Under what a voter votes: its name and a mark, 0 for who was there from the first. Who loses what
 * it had said was kept comes back under another mark, drawn anew, so that nothing that the one
 * before said counts as said by it; a number counted up would be counted twice by disks and
 * memories that lost the first time.
 */
record VoterId(PeerName name, long mark) implements RaftEndpoint {

  static VoterId of(String text) {
    int at = text.lastIndexOf('#');
    return new VoterId(
        new PeerName(text.substring(0, at)), Long.parseUnsignedLong(text.substring(at + 1), 16));
  }

  @Override
  public String getId() {
    return name.name() + "#" + Long.toHexString(mark);
  }

  @Override
  public String toString() {
    return getId();
  }
}
