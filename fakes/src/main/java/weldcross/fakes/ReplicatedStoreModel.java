package weldcross.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The data of all replica groups, and the record of what was done to it, by which a run is checked.
 * Each group has one history of commits; a replica sees it as it was some time ago. Times are
 * monotonic, in nanoseconds of {@link Clock}. Safe for use by several threads.
 */
public final class ReplicatedStoreModel {

  /**
   * A write that was applied.
   *
   * @param at when it was applied
   * @param rpc the id of its request
   * @param group its replica group
   * @param server the server that applied it
   * @param key the key written
   * @param value the value written
   * @param sequence its place in the group's history, from 1
   * @param connection the connection by which it came
   */
  public record Commit(
      long at,
      String rpc,
      int group,
      String server,
      String key,
      String value,
      long sequence,
      long connection) {}

  /**
   * A read that a server served.
   *
   * @param at when it was served
   * @param rpc the id of its request
   * @param group its replica group
   * @param server the server that served it
   * @param key the key read
   * @param position all that was committed until then was visible
   * @param seen the sequence of the commit whose value it returned; zero for none
   */
  public record Read(
      long at, String rpc, int group, String server, String key, long position, long seen) {}

  /**
   * A request of a client that reached a server, whatever became of it.
   *
   * @param at when it was read
   * @param rpc its id
   * @param server the server that it reached
   * @param connection the connection by which it came
   */
  public record Arrival(long at, String rpc, String server, long connection) {}

  private final Map<Integer, List<Commit>> histories = new HashMap<>();
  private final Map<String, List<Commit>> byKey = new HashMap<>();
  private final Set<String> committed = new HashSet<>();
  private final List<Commit> commits = new ArrayList<>();
  private final List<Read> reads = new ArrayList<>();
  private final List<Arrival> arrivals = new ArrayList<>();

  /** Creates a store without data. */
  public ReplicatedStoreModel() {}

  synchronized void recordArrival(Arrival arrival) {
    arrivals.add(arrival);
  }

  /** Applies a write, also one that was applied before: finding that is the checker's task. */
  synchronized Commit commit(
      long at, String rpc, int group, String server, String key, String value, long connection) {
    List<Commit> history = histories.computeIfAbsent(group, g -> new ArrayList<>());
    Commit commit = new Commit(at, rpc, group, server, key, value, history.size() + 1, connection);
    history.add(commit);
    byKey.computeIfAbsent(group + "/" + key, k -> new ArrayList<>()).add(commit);
    commits.add(commit);
    committed.add(rpc);
    return commit;
  }

  /** Returns the value visible at a position, or an empty text. */
  synchronized String read(
      long at, String rpc, int group, String server, String key, long position) {
    Commit last = null;
    for (Commit each : byKey.getOrDefault(group + "/" + key, List.of())) {
      if (each.at() <= position) {
        last = each;
      }
    }
    long sequence = last == null ? 0 : last.sequence();
    reads.add(new Read(at, rpc, group, server, key, position, sequence));
    return last == null ? "" : last.value();
  }

  /** Returns whether a write with this request id has been applied. */
  synchronized boolean isCommitted(String rpc) {
    return committed.contains(rpc);
  }

  /**
   * Returns all writes applied so far.
   *
   * @return a copy, in the order of their application
   */
  public synchronized List<Commit> commits() {
    return List.copyOf(commits);
  }

  /**
   * Returns all reads served so far.
   *
   * @return a copy, in their order
   */
  public synchronized List<Read> reads() {
    return List.copyOf(reads);
  }

  /**
   * Returns all requests that reached a server so far.
   *
   * @return a copy, in their order
   */
  public synchronized List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /** The clock of a run, monotonic and as Unix time. */
  public static final class Clock {
    private final long zeroNanos = System.nanoTime();
    private final long unixMillisAtZero = System.currentTimeMillis();

    /** Creates a clock that reads zero now. */
    public Clock() {}

    /**
     * Reads the monotonic clock.
     *
     * @return nanoseconds since this clock was created
     */
    public long nanos() {
      return System.nanoTime() - zeroNanos;
    }

    /**
     * Converts to Unix time, rounded down: a position must never look fresher than it is.
     *
     * @param nanos a reading of {@link #nanos}
     * @return Unix time in milliseconds
     */
    public long unixMillis(long nanos) {
      return unixMillisAtZero + Math.floorDiv(nanos, 1_000_000L);
    }
  }
}
