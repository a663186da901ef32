package weldcross.consensus.raft;

import java.io.IOException;
import java.util.logging.Level;
import weldcross.consensus.MembershipView;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.wire.Word;
import weldcross.mesh.PeerName;
import weldcross.storage.StorageDirectory;

/**
 * What a {@link RaftVoter} can do to the world; all is called on its own thread, and only {@link
 * #disk} may wait.
 */
public interface RaftVoterActions {

  /** The directory of this voter alone. */
  StorageDirectory disk() throws IOException;

  /** Sends it to another voter; it may be lost, late and repeated. */
  void send(PeerName to, Word word);

  /** The consensus has committed this view, or it is known again from what was kept. */
  void viewIs(MembershipView view);

  /**
   * What became of a change that was asked for here.
   *
   * @param verdict null where this voter does not lead
   * @param leader null where none is known
   */
  void moved(PeerName asker, long number, ProposalResult verdict, PeerName leader);

  void say(Level level, String words);
}
