package weldcross.consensus;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * Whether a voter that has started may vote. A disk may have lost what it had said was kept, an end
 * of the log or a vote, and nothing on it tells. So the others are asked what they know, before
 * anything is said under the old name.
 *
 * <p>Enough have answered once every majority that this voter may have been part of has somebody
 * among them: with n voters, n - n/2 others that have a log. Then what it may have helped to
 * commit, or voted for, is among what they have. Fewer than half of the disks may be lost; where so
 * many others already say that theirs are, this one is not. Pure; asked by the voter, which asks
 * the others again until it votes.
 */
public final class VoterRecovery {

  /** What it comes to. */
  public enum Phase {
    ASKING,
    /** Nobody has anything: the first start of all. */
    FOUNDS,
    /** What the disk has is all that it ever said. */
    GOES_ON,
    /** It may lack what it had: it votes once its log has reached what the others have. */
    LEARNS_FIRST,
    /**
     * Its records were lost, or it never had any, while others have some: it is another one from
     * now on.
     */
    IS_NEW
  }

  /**
   * What this voter's disk has.
   *
   * @param identity under which it voted; null where the disk is empty or cannot be read
   */
  public record Kept(String identity, int term, int lastTerm, long lastIndex) {

    public static final Kept NOTHING = new Kept(null, 0, 0, 0);
  }

  /**
   * What another voter says.
   *
   * @param has whether it has a log of its own
   * @param founding whether it has never heard of another identity of any voter than the first, and
   *     lost nothing
   * @param stranger whether its group has no voter of the identity that the asker asked by
   * @param ackedTerm of the last entry that the asker, under the identity it asked by, had
   *     acknowledged to it; zero where it remembers none
   * @param votedTerm the highest term in which the asker voted for it; zero where it remembers none
   */
  public record Answer(
      boolean has,
      boolean founding,
      boolean stranger,
      int term,
      int lastTerm,
      long lastIndex,
      int ackedTerm,
      long ackedIndex,
      int votedTerm) {}

  private final int voters;
  private final boolean had;
  private Kept kept;
  private final Map<PeerName, Answer> answers = new TreeMap<>();
  private Phase phase;
  private String why = "";

  /**
   * @param voters how many there are, this one among them
   * @param trusted whether the installation says that its disks never lose what they said was kept
   * @param had whether the disk has records that are not used: damaged, or of an identity that
   *     votes no more
   */
  public VoterRecovery(int voters, boolean trusted, Kept kept, boolean had) {
    this.voters = voters;
    this.had = had;
    this.kept = kept;
    phase =
        voters == 1
            ? kept.identity() == null && !had ? Phase.FOUNDS : Phase.GOES_ON
            : trusted && kept.identity() != null ? Phase.GOES_ON : Phase.ASKING;
  }

  /** The last answer of each counts. */
  public Phase answered(PeerName from, Answer answer) {
    if (phase == Phase.ASKING || phase == Phase.LEARNS_FIRST) {
      answers.put(from, answer);
      decide();
    }
    return phase;
  }

  /** While it learns: what its disk has by now. */
  public Phase has(Kept now) {
    if (phase == Phase.LEARNS_FIRST) {
      kept = now;
      decide();
    }
    return phase;
  }

  private void decide() {
    List<Answer> having = answers.values().stream().filter(Answer::has).toList();
    if (kept.identity() == null) {
      boolean begun =
          answers.values().stream().anyMatch(a -> (a.has() && a.lastIndex() > 0) || !a.founding());
      if (begun) {
        become(Phase.IS_NEW, "this disk has no records, and others have");
      } else if (answers.size() == voters - 1 && !had) {
        // Where it had some itself the others lost theirs: nothing begins anew without a person.
        become(Phase.FOUNDS, "no voter has records");
      }
      return;
    }
    for (Answer a : having) {
      if (a.stranger()) {
        become(Phase.IS_NEW, kept.identity() + " is no voter any more");
        return;
      }
      if (isBefore(kept.lastTerm(), kept.lastIndex(), a.ackedTerm(), a.ackedIndex())) {
        become(
            Phase.IS_NEW,
            "this disk ends at entry "
                + kept.lastIndex()
                + ", and had said that it kept "
                + a.ackedIndex());
        return;
      }
      if (a.votedTerm() > kept.term()) {
        become(
            Phase.IS_NEW,
            "this disk knows of term "
                + kept.term()
                + ", and a vote of its was counted in "
                + a.votedTerm());
        return;
      }
    }
    int lost = answers.size() - having.size();
    if (having.size() >= voters - voters / 2 || lost >= (voters - 1) / 2) {
      // Votes that were lost lie before this start: what others come to later says nothing of them.
      boolean behind =
          having.stream()
              .anyMatch(
                  a ->
                      (phase == Phase.ASKING && a.term() > kept.term())
                          || isBefore(
                              kept.lastTerm(), kept.lastIndex(), a.lastTerm(), a.lastIndex()));
      become(
          behind ? Phase.LEARNS_FIRST : Phase.GOES_ON,
          behind ? "others have more" : "no other has more");
    }
  }

  private void become(Phase next, String because) {
    phase = next;
    why = because;
  }

  /** Whether a log that ends at the first is older than one that ends at the second. */
  public static boolean isBefore(int term, long index, int otherTerm, long otherIndex) {
    return term != otherTerm ? term < otherTerm : index < otherIndex;
  }

  public Phase phase() {
    return phase;
  }

  /** For the log; empty while it is asking. */
  public String why() {
    return why;
  }

  /** The highest term that anybody knows of: in it, and before, this voter may have voted. */
  public int term() {
    return Math.max(kept.term(), answers.values().stream().mapToInt(Answer::term).max().orElse(0));
  }

  /** The term of the entry that has to be reached before it votes; and its index. */
  public int targetTerm() {
    return answers.values().stream().mapToInt(Answer::lastTerm).max().orElse(0);
  }

  public long targetIndex() {
    int term = targetTerm();
    return answers.values().stream()
        .filter(a -> a.lastTerm() == term)
        .mapToLong(Answer::lastIndex)
        .max()
        .orElse(0);
  }

  /** For the log: who answered, and how many are missing. */
  public String describe() {
    long having = answers.values().stream().filter(Answer::has).count();
    return phase
        + ", "
        + answers
        + " answered, "
        + having
        + " of them with records; "
        + (kept.identity() == null ? voters - 1 : voters - voters / 2)
        + " wanted";
  }
}
