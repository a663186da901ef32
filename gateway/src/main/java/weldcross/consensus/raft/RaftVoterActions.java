package weldcross.consensus.raft;

import java.io.IOException;
import java.util.logging.Level;
import weldcross.consensus.MembershipView;
import weldcross.consensus.ProposalOutcome;
import weldcross.consensus.wire.ConsensusMessage;
import weldcross.mesh.PeerName;
import weldcross.storage.StorageDirectory;

/**
 * Side effects of a {@link RaftVoter}. All methods are called on the voter's thread; only {@link
 * #openDirectory} may block.
 */
public interface RaftVoterActions {

  /**
   * Opens the directory reserved for this voter, which the voter closes.
   *
   * @throws IOException if the directory is in use or cannot be accessed; the voter retries
   */
  StorageDirectory openDirectory() throws IOException;

  /** Sends a message to another voter; it may be lost, delayed or duplicated. */
  void send(PeerName to, ConsensusMessage message);

  /** Reports a view that was committed, or restored from storage or a snapshot. */
  void viewCommitted(MembershipView view);

  /**
   * Replies to a proposal.
   *
   * @param proposer proposer passed to {@link RaftVoter#propose}
   * @param number number passed to {@link RaftVoter#propose}
   */
  void proposalAnswered(PeerName proposer, long number, ProposalOutcome outcome);

  /** Writes a log message. */
  void log(Level level, String message);
}
