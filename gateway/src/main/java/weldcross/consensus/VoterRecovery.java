package weldcross.consensus;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * Decides whether a restarted voter may vote. Its storage may have lost the end of its log or a
 * vote that it had reported as durable, which the storage itself cannot reveal. The other voters
 * are therefore queried before anything is sent under the voter's identity.
 *
 * <p>A voter with a log has enough replies once they intersect every majority that it may have been
 * part of: with n voters, n - n/2 replies of others that have a log. Any entry that it helped to
 * commit, and any vote that it cast, is then known to at least one of them. Recovery assumes that
 * fewer than half of the voters lose their storage; if that many others already report a loss, this
 * voter's log is taken to be intact. Performs no I/O; the voter repeats its queries until it votes.
 */
public final class VoterRecovery {

  /** What a voter does after a restart. */
  public enum Decision {
    /** More replies are needed. */
    UNDECIDED,
    /** No voter has a log: it bootstraps the group. */
    FOUND_GROUP,
    /** Its log contains everything it has acknowledged: it votes. */
    RESUME,
    /** Its log may lack entries or votes: it votes after catching up with the other voters. */
    CATCH_UP,
    /** It has lost its log, or never had one while others do: it joins under a new identity. */
    NEW_IDENTITY
  }

  /**
   * Summary of a voter's stored log.
   *
   * @param identity identity under which it voted; empty if there is no usable log
   * @param term highest stored term
   * @param last position of the last log entry
   */
  public record LogSummary(Optional<String> identity, int term, LogPosition last) {

    /** Summary of a missing or unusable log. */
    public static final LogSummary NONE = new LogSummary(Optional.empty(), 0, LogPosition.NONE);
  }

  /**
   * Reply of another voter to a recovery query.
   *
   * @param hasLog whether the replying voter has a log
   * @param founding whether, to its knowledge, no voter has changed its identity or lost its log
   * @param unknownIdentity whether the querying identity is not a member of its group
   * @param term highest term known to the replying voter
   * @param last position of its last log entry
   * @param acknowledged last entry that the querying identity acknowledged to it; {@link
   *     LogPosition#NONE} if none is recorded
   * @param votedTerm highest term in which the querying identity voted for it; zero if none is
   *     recorded
   */
  public record Reply(
      boolean hasLog,
      boolean founding,
      boolean unknownIdentity,
      int term,
      LogPosition last,
      LogPosition acknowledged,
      int votedTerm) {}

  private final int voterCount;
  private final boolean logUnusable;
  private final Map<PeerName, Reply> replies = new TreeMap<>();
  private LogSummary localLog;
  private Decision decision;
  private String reason = "";

  /**
   * Starts the recovery of a voter.
   *
   * @param voterCount number of voters, including this one
   * @param trustStorage whether storage never loses data it reported as durable
   * @param localLog summary of this voter's log
   * @param logUnusable whether storage holds a log that cannot be used because it is corrupt or its
   *     identity is no longer a voter
   */
  public VoterRecovery(
      int voterCount, boolean trustStorage, LogSummary localLog, boolean logUnusable) {
    this.voterCount = voterCount;
    this.logUnusable = logUnusable;
    this.localLog = localLog;
    decision = initialDecision(trustStorage);
  }

  private Decision initialDecision(boolean trustStorage) {
    boolean hasIdentity = localLog.identity().isPresent();
    if (voterCount == 1) {
      return hasIdentity || logUnusable ? Decision.RESUME : Decision.FOUND_GROUP;
    }
    return trustStorage && hasIdentity ? Decision.RESUME : Decision.UNDECIDED;
  }

  /** Handles a reply, which replaces any earlier reply of the same voter. */
  public Decision replyReceived(PeerName from, Reply reply) {
    if (decision == Decision.UNDECIDED || decision == Decision.CATCH_UP) {
      replies.put(from, reply);
      updateDecision();
    }
    return decision;
  }

  /** Updates the summary of this voter's log, which grows while the voter catches up. */
  public Decision localLogChanged(LogSummary current) {
    if (decision == Decision.CATCH_UP) {
      localLog = current;
      updateDecision();
    }
    return decision;
  }

  private void updateDecision() {
    if (localLog.identity().isEmpty()) {
      decideWithoutLog();
    } else {
      decideWithLog(localLog.identity().get());
    }
  }

  private void decideWithoutLog() {
    boolean groupExists = replies.values().stream().anyMatch(VoterRecovery::indicatesExistingGroup);
    if (groupExists) {
      setDecision(Decision.NEW_IDENTITY, "local log is empty, another voter has entries");
    } else if (replies.size() == voterCount - 1 && !logUnusable) {
      // An unusable log shows that the group existed and the others have lost their logs; only an
      // operator may then bootstrap a new group.
      setDecision(Decision.FOUND_GROUP, "no voter has entries");
    }
  }

  private static boolean indicatesExistingGroup(Reply reply) {
    return (reply.hasLog() && reply.last().index() > 0) || !reply.founding();
  }

  private void decideWithLog(String identity) {
    List<Reply> withLog = replies.values().stream().filter(Reply::hasLog).toList();
    for (Reply reply : withLog) {
      Optional<String> loss = detectDataLoss(reply, identity);
      if (loss.isPresent()) {
        setDecision(Decision.NEW_IDENTITY, loss.get());
        return;
      }
    }
    int withoutLog = replies.size() - withLog.size();
    if (withLog.size() >= voterCount - voterCount / 2 || withoutLog >= (voterCount - 1) / 2) {
      if (isBehind(withLog)) {
        setDecision(Decision.CATCH_UP, "another voter's log or term is ahead");
      } else {
        setDecision(Decision.RESUME, "no other voter's log or term is ahead");
      }
    }
  }

  private Optional<String> detectDataLoss(Reply reply, String identity) {
    if (reply.unknownIdentity()) {
      return Optional.of(identity + " is no longer a member of the group");
    }
    if (localLog.last().isBefore(reply.acknowledged())) {
      return Optional.of(
          "local log ends at entry "
              + localLog.last().index()
              + ", but this voter acknowledged entry "
              + reply.acknowledged().index());
    }
    if (reply.votedTerm() > localLog.term()) {
      return Optional.of(
          "local log ends at term "
              + localLog.term()
              + ", but this voter voted in term "
              + reply.votedTerm());
    }
    return Optional.empty();
  }

  private boolean isBehind(Collection<Reply> withLog) {
    // Only terms from before the restart can indicate a lost vote; terms that begin while this
    // voter
    // catches up cannot.
    boolean compareTerms = decision == Decision.UNDECIDED;
    return withLog.stream()
        .anyMatch(
            reply ->
                (compareTerms && reply.term() > localLog.term())
                    || localLog.last().isBefore(reply.last()));
  }

  private void setDecision(Decision newDecision, String newReason) {
    decision = newDecision;
    reason = newReason;
  }

  /** Returns the decision based on the replies received so far. */
  public Decision decision() {
    return decision;
  }

  /** Returns the reason of the decision, for the log; empty if it required no reply. */
  public String reason() {
    return reason;
  }

  /** Returns the highest known term; this voter may have voted in it or in any earlier term. */
  public int highestTerm() {
    int highestReplied = replies.values().stream().mapToInt(Reply::term).max().orElse(0);
    return Math.max(localLog.term(), highestReplied);
  }

  /** Returns the position that this voter's log must reach before the voter votes. */
  public LogPosition target() {
    return replies.values().stream()
        .map(Reply::last)
        .max(LogPosition::compareTo)
        .orElse(LogPosition.NONE);
  }

  /** Returns a one-line summary of the decision and the replies, for the log. */
  public String describe() {
    long withLog = replies.values().stream().filter(Reply::hasLog).count();
    int needed = localLog.identity().isEmpty() ? voterCount - 1 : voterCount - voterCount / 2;
    return "decision="
        + decision
        + " replies="
        + replies
        + " withLog="
        + withLog
        + " needed="
        + needed;
  }
}
