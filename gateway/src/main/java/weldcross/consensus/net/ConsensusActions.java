package weldcross.consensus.net;

import java.io.IOException;
import java.time.Duration;
import java.util.logging.Level;
import weldcross.consensus.MembershipView;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.wire.ConsensusMessage;
import weldcross.mesh.PeerName;
import weldcross.storage.StorageDirectory;

/**
 * What a {@link ConsensusService} has done outside. Called on the gateway's event loop where not
 * said otherwise.
 */
public interface ConsensusActions {

  /** Time since the start of the gateway. */
  Duration now();

  /** Sends a message to another gateway; it may be lost. */
  void send(PeerName to, ConsensusMessage message);

  /** Runs a task on the event loop; called on the voter's thread. */
  void post(Runnable task);

  /** Schedules {@link ConsensusService#onTimer}; the last call replaces those before. */
  void wakeAt(Duration when);

  /**
   * Opens the directory that the voter alone uses; called on the voter's thread.
   *
   * @throws IOException where it is in use or cannot be accessed
   */
  StorageDirectory openDirectory() throws IOException;

  /** As {@link weldcross.consensus.MembershipViewActions#viewChanged}. */
  void viewChanged(MembershipView view);

  /** As {@link weldcross.consensus.MembershipViewActions#setQuota}. */
  void setQuota(double share);

  /** As {@link weldcross.consensus.MembershipViewActions#incarnationEnded}. */
  void incarnationEnded(long incarnation);

  /** As {@link weldcross.consensus.MembershipViewActions#operatorProposalDecided}. */
  void operatorProposalDecided(Proposal proposal, ProposalResult result);

  /** As {@link weldcross.consensus.MembershipViewActions#left}. */
  void left();

  /** Writes one line to the log; called on any thread. */
  void log(Level level, String line);
}
