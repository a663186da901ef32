package weldcross.consensus;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * Decides whether a voter that has started may vote. Its storage may have lost the end of its log
 * or a vote that it reported as durable, and nothing in it shows that; so the other voters are
 * asked what they know before anything is sent under the voter's identity.
 *
 * <p>A voter with a log has enough replies once every majority that it may have been part of is
 * represented: with n voters, n - n/2 others that have a log. Then whatever it may have helped to
 * commit, or voted for, is known to one of them. Fewer than half of the voters may lose their
 * storage; where that many others already report a loss, this one has not lost its own. Pure; the
 * voter asks again until it votes.
 */
public final class VoterRecovery {

  /** What a voter does after it has started. */
  public enum Decision {
    /** More replies are needed. */
    UNDECIDED,
    /** No voter has a log: it founds the group. */
    FOUND_GROUP,
    /** Its log holds all that it ever acknowledged: it votes. */
    RESUME,
    /** Its log may lack entries or votes: it votes once it has caught up with the others. */
    CATCH_UP,
    /** Its log was lost, or never was while others have one: it joins under a new identity. */
    NEW_IDENTITY
  }

  /**
   * Summary of a voter's stored log.
   *
   * @param identity under which it voted; empty where there is no usable log
   * @param term the highest stored term
   * @param last the end of the log
   */
  public record LogSummary(Optional<String> identity, int term, LogPosition last) {

    /** No log, or none that can be used. */
    public static final LogSummary NONE = new LogSummary(Optional.empty(), 0, LogPosition.NONE);
  }

  /**
   * What another voter replied.
   *
   * @param hasLog whether it has a log of its own
   * @param founding whether, as far as it knows, no voter has changed its identity or lost its log
   * @param unknownIdentity whether the identity that asked is not in its group
   * @param term the highest term that it knows
   * @param last the end of its log
   * @param acknowledged the last entry that the asking identity acknowledged to it; {@link
   *     LogPosition#NONE} where it remembers none
   * @param votedTerm the highest term in which the asking identity voted for it; zero where it
   *     remembers none
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
  private LogSummary local;
  private Decision decision;
  private String reason = "";

  /**
   * Begins the recovery of a voter.
   *
   * @param voterCount number of all voters, this one included
   * @param trustStorage whether storage never loses what it reported as durable
   * @param local this voter's log
   * @param logUnusable whether storage holds a log that is not used: damaged, or of an identity
   *     that is no voter any more
   */
  public VoterRecovery(
      int voterCount, boolean trustStorage, LogSummary local, boolean logUnusable) {
    this.voterCount = voterCount;
    this.logUnusable = logUnusable;
    this.local = local;
    decision = initialDecision(trustStorage);
  }

  private Decision initialDecision(boolean trustStorage) {
    boolean hasIdentity = local.identity().isPresent();
    if (voterCount == 1) {
      return hasIdentity || logUnusable ? Decision.RESUME : Decision.FOUND_GROUP;
    }
    return trustStorage && hasIdentity ? Decision.RESUME : Decision.UNDECIDED;
  }

  /** Takes a reply, which replaces an earlier one of the same voter. */
  public Decision replied(PeerName from, Reply reply) {
    if (decision == Decision.UNDECIDED || decision == Decision.CATCH_UP) {
      replies.put(from, reply);
      decide();
    }
    return decision;
  }

  /** Takes the current state of this voter's log, which grows while it catches up. */
  public Decision localLogChanged(LogSummary current) {
    if (decision == Decision.CATCH_UP) {
      local = current;
      decide();
    }
    return decision;
  }

  private void decide() {
    if (local.identity().isEmpty()) {
      decideWithoutLog();
    } else {
      decideWithLog(local.identity().get());
    }
  }

  private void decideWithoutLog() {
    boolean groupExists = replies.values().stream().anyMatch(VoterRecovery::showsExistingGroup);
    if (groupExists) {
      become(Decision.NEW_IDENTITY, "local log is empty, another voter has entries");
    } else if (replies.size() == voterCount - 1 && !logUnusable) {
      // With an unusable log the others have lost theirs: only an operator may found a new group.
      become(Decision.FOUND_GROUP, "no voter has entries");
    }
  }

  private static boolean showsExistingGroup(Reply reply) {
    return (reply.hasLog() && reply.last().index() > 0) || !reply.founding();
  }

  private void decideWithLog(String identity) {
    List<Reply> withLog = replies.values().stream().filter(Reply::hasLog).toList();
    for (Reply reply : withLog) {
      Optional<String> loss = lossShownBy(reply, identity);
      if (loss.isPresent()) {
        become(Decision.NEW_IDENTITY, loss.get());
        return;
      }
    }
    int withoutLog = replies.size() - withLog.size();
    if (withLog.size() >= voterCount - voterCount / 2 || withoutLog >= (voterCount - 1) / 2) {
      if (isBehind(withLog)) {
        become(Decision.CATCH_UP, "another voter has more");
      } else {
        become(Decision.RESUME, "no other voter has more");
      }
    }
  }

  private Optional<String> lossShownBy(Reply reply, String identity) {
    if (reply.unknownIdentity()) {
      return Optional.of(identity + " is not in the group any more");
    }
    if (local.last().isBefore(reply.acknowledged())) {
      return Optional.of(
          "local log ends at entry "
              + local.last().index()
              + ", but acknowledged entry "
              + reply.acknowledged().index());
    }
    if (reply.votedTerm() > local.term()) {
      return Optional.of(
          "local log ends at term "
              + local.term()
              + ", but a vote was counted in term "
              + reply.votedTerm());
    }
    return Optional.empty();
  }

  private boolean isBehind(Collection<Reply> withLog) {
    // Lost votes precede this start: terms that begin while it catches up say nothing of them.
    boolean compareTerms = decision == Decision.UNDECIDED;
    return withLog.stream()
        .anyMatch(
            reply ->
                (compareTerms && reply.term() > local.term())
                    || local.last().isBefore(reply.last()));
  }

  private void become(Decision next, String nextReason) {
    decision = next;
    reason = nextReason;
  }

  /** The decision by the replies so far. */
  public Decision decision() {
    return decision;
  }

  /** The reason of the decision, for the log; empty where it needed no reply. */
  public String reason() {
    return reason;
  }

  /** The highest known term: in it, and in those before, this voter may have voted. */
  public int highestTerm() {
    int replied = replies.values().stream().mapToInt(Reply::term).max().orElse(0);
    return Math.max(local.term(), replied);
  }

  /** The position that this voter's log must reach before it votes. */
  public LogPosition target() {
    return replies.values().stream()
        .map(Reply::last)
        .max(LogPosition::compareTo)
        .orElse(LogPosition.NONE);
  }

  /** The decision and who has replied, for the log; one line without a line end. */
  public String describe() {
    long withLog = replies.values().stream().filter(Reply::hasLog).count();
    int needed = local.identity().isEmpty() ? voterCount - 1 : voterCount - voterCount / 2;
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
