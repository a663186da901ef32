package weldcross.consensus;

import java.util.Comparator;

/**
 * Term and index of an entry of a Raft log. Positions are ordered by term, then by index: of two
 * logs, the one whose last entry has the greater position is more up to date.
 *
 * @param term term of the entry; zero for an empty log
 * @param index index of the entry; zero for an empty log
 */
public record LogPosition(int term, long index) implements Comparable<LogPosition> {

  /** Position of an empty log. */
  public static final LogPosition NONE = new LogPosition(0, 0);

  private static final Comparator<LogPosition> ORDER =
      Comparator.comparingInt(LogPosition::term).thenComparingLong(LogPosition::index);

  @Override
  public int compareTo(LogPosition other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether a log that ends at this position is less up to date than one at the other. */
  public boolean isBefore(LogPosition other) {
    return compareTo(other) < 0;
  }
}
