package weldcross.consensus;

import java.util.Comparator;

/**
 * The last entry of a Raft log. Positions are ordered by term, then by index: of two logs the one
 * that ends at the greater position is the more up-to-date.
 *
 * @param term of the entry; zero where the log is empty
 * @param index of the entry; zero where the log is empty
 */
public record LogPosition(int term, long index) implements Comparable<LogPosition> {

  /** The end of an empty log. */
  public static final LogPosition NONE = new LogPosition(0, 0);

  private static final Comparator<LogPosition> ORDER =
      Comparator.comparingInt(LogPosition::term).thenComparingLong(LogPosition::index);

  @Override
  public int compareTo(LogPosition other) {
    return ORDER.compare(this, other);
  }

  /** Whether a log that ends here is less up-to-date than one that ends there. */
  public boolean isBefore(LogPosition other) {
    return compareTo(other) < 0;
  }
}
