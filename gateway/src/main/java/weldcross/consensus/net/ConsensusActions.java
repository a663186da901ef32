package weldcross.consensus.net;

import java.io.IOException;
import java.time.Duration;
import java.util.logging.Level;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.wire.Word;
import weldcross.mesh.PeerName;
import weldcross.storage.StorageDirectory;

/**
 * What {@link ConsensusService} needs of its gateway. Where not said otherwise called on the
 * gateway's thread.
 */
public interface ConsensusActions {

  Duration now();

  /** Sends it to another gateway; it may be lost. */
  void send(PeerName to, Word word);

  /** From the voter's thread: has this run on the gateway's. */
  void post(Runnable event);

  /** Asks to be called then; only the time asked for last counts. */
  void wakeAt(Duration when);

  /** On the voter's thread: the directory of the voter alone. */
  StorageDirectory disk() throws IOException;

  /** As {@link weldcross.consensus.MembershipViewActions#viewIs}. */
  void viewIs(MembershipView view);

  /** As {@link weldcross.consensus.MembershipViewActions#setQuota}. */
  void setQuota(double share);

  /** As {@link weldcross.consensus.MembershipViewActions#ended}. */
  void ended(long life);

  /** As {@link weldcross.consensus.MembershipViewActions#operatorTold}. */
  void operatorTold(Proposal motion, ProposalResult verdict);

  /** As {@link weldcross.consensus.MembershipViewActions#left}. */
  void left();

  /** From any thread. */
  void say(Level level, String words);
}
