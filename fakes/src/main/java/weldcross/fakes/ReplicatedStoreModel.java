package weldcross.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The data of all replica groups, with the history of commits, reads and arrivals against which a
 * run is checked. Each group has one history of commits, of which a lagging replica sees a prefix.
 * Times are monotonic, in nanoseconds of {@link Clock}. Thread-safe.
 */
public final class ReplicatedStoreModel {

  /**
   * A write that was applied.
   *
   * @param at the time of the commit
   * @param rpc the request id
   * @param group the replica group
   * @param server the server that applied the write
   * @param key the key written
   * @param value the value written
   * @param sequence the position in the history of the group, from 1
   * @param connection the connection on which the write arrived
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
   * @param at the time of the read
   * @param rpc the request id
   * @param group the replica group
   * @param server the server that served the read
   * @param key the key read
   * @param position the time up to which commits were visible to the read
   * @param seen the sequence of the commit whose value was returned; zero for none
   */
  public record Read(
      long at, String rpc, int group, String server, String key, long position, long seen) {}

  /**
   * A client request that reached a server, regardless of its outcome.
   *
   * @param at the time of arrival
   * @param rpc the request id
   * @param server the server that received the request
   * @param connection the connection on which the request arrived
   */
  public record Arrival(long at, String rpc, String server, long connection) {}

  private final Map<Integer, List<Commit>> histories = new HashMap<>();
  private final Map<String, List<Commit>> commitsByKey = new HashMap<>();
  private final Set<String> committedRequests = new HashSet<>();
  private final List<Commit> commits = new ArrayList<>();
  private final List<Read> reads = new ArrayList<>();
  private final List<Arrival> arrivals = new ArrayList<>();

  /** Creates a store without data. */
  public ReplicatedStoreModel() {}

  synchronized void recordArrival(Arrival arrival) {
    arrivals.add(arrival);
  }

  /** Applies a write, even if it was applied before: the checker must be able to detect that. */
  synchronized Commit commit(
      long at, String rpc, int group, String server, String key, String value, long connection) {
    List<Commit> history = histories.computeIfAbsent(group, g -> new ArrayList<>());
    Commit commit = new Commit(at, rpc, group, server, key, value, history.size() + 1, connection);
    history.add(commit);
    commitsByKey.computeIfAbsent(group + "/" + key, k -> new ArrayList<>()).add(commit);
    commits.add(commit);
    committedRequests.add(rpc);
    return commit;
  }

  /** Returns the value visible at a position, or an empty string. */
  synchronized String read(
      long at, String rpc, int group, String server, String key, long position) {
    Commit last = null;
    for (Commit commit : commitsByKey.getOrDefault(group + "/" + key, List.of())) {
      if (commit.at() <= position) {
        last = commit;
      }
    }
    long sequence = last == null ? 0 : last.sequence();
    reads.add(new Read(at, rpc, group, server, key, position, sequence));
    return last == null ? "" : last.value();
  }

  /** Returns whether a write with this request id has been applied. */
  synchronized boolean isCommitted(String rpc) {
    return committedRequests.contains(rpc);
  }

  /**
   * Returns all writes applied so far.
   *
   * @return a copy, in commit order
   */
  public synchronized List<Commit> commits() {
    return List.copyOf(commits);
  }

  /**
   * Returns all reads served so far.
   *
   * @return a copy, in the order in which they were recorded
   */
  public synchronized List<Read> reads() {
    return List.copyOf(reads);
  }

  /**
   * Returns all requests that reached a server so far.
   *
   * @return a copy, in the order in which they were recorded
   */
  public synchronized List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /** The clock of a run: a monotonic clock with conversion to Unix time. */
  public static final class Clock {
    private final long startNanos = System.nanoTime();
    private final long startUnixMillis = System.currentTimeMillis();

    /** Creates a clock that starts at zero. */
    public Clock() {}

    /**
     * Reads the monotonic clock.
     *
     * @return nanoseconds since this clock was created
     */
    public long nanos() {
      return System.nanoTime() - startNanos;
    }

    /**
     * Converts a reading to Unix time, rounded down so that a position never looks fresher than it
     * is.
     *
     * @param nanos a reading of {@link #nanos}
     * @return Unix time in milliseconds
     */
    public long unixMillis(long nanos) {
      return startUnixMillis + Math.floorDiv(nanos, 1_000_000L);
    }
  }
}
