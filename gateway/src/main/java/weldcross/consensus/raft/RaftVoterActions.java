package weldcross.consensus.raft;

import java.io.IOException;
import java.util.logging.Level;
import weldcross.consensus.MembershipView;
import weldcross.consensus.ProposalOutcome;
import weldcross.consensus.wire.ConsensusMessage;
import weldcross.mesh.PeerName;
import weldcross.storage.StorageDirectory;

/**
 * What a {@link RaftVoter} has done outside. All methods are called on the voter's thread, and only
 * {@link #openDirectory} may block.
 */
public interface RaftVoterActions {

  /**
   * Opens the directory that this voter alone uses; the voter closes it.
   *
   * @throws IOException where it is in use or cannot be accessed; the voter tries again
   */
  StorageDirectory openDirectory() throws IOException;

  /** Sends a message to another voter; it may be lost, delayed and repeated. */
  void send(PeerName to, ConsensusMessage message);

  /** A view was committed, or was restored from storage or a snapshot. */
  void viewCommitted(MembershipView view);

  /**
   * Answers a proposal that was made here.
   *
   * @param proposer as passed to {@link RaftVoter#propose}
   * @param number as passed to {@link RaftVoter#propose}
   */
  void proposalAnswered(PeerName proposer, long number, ProposalOutcome outcome);

  /** Writes one line to the log. */
  void log(Level level, String line);
}
