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
 * Side effects of a {@link ConsensusService}. Called on the gateway's event loop unless stated
 * otherwise.
 */
public interface ConsensusActions {

  /** Returns the time since the gateway was started. */
  Duration now();

  /** Sends a message to another gateway; it may be lost. */
  void send(PeerName to, ConsensusMessage message);

  /** Runs a task on the event loop; called on the voter's thread. */
  void post(Runnable task);

  /** Schedules {@link ConsensusService#onTimer}, replacing any earlier schedule. */
  void wakeAt(Duration when);

  /**
   * Opens the directory reserved for the voter; called on the voter's thread.
   *
   * @throws IOException if the directory is in use or cannot be accessed
   */
  StorageDirectory openDirectory() throws IOException;

  /** See {@link weldcross.consensus.MembershipViewActions#viewChanged}. */
  void viewChanged(MembershipView view);

  /** See {@link weldcross.consensus.MembershipViewActions#setQuota}. */
  void setQuota(double share);

  /** See {@link weldcross.consensus.MembershipViewActions#incarnationEnded}. */
  void incarnationEnded(long incarnation);

  /** See {@link weldcross.consensus.MembershipViewActions#operatorProposalDecided}. */
  void operatorProposalDecided(Proposal proposal, ProposalResult result);

  /** See {@link weldcross.consensus.MembershipViewActions#left}. */
  void left();

  /** Writes a log message; may be called on any thread. */
  void log(Level level, String message);
}
