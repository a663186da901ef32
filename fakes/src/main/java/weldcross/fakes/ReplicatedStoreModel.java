package weldcross.fakes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The data of all groups, and the record of what was done to it, by which trials are judged. One
 * history of commits a group; a replica sees it as it was some time ago. Times are monotonic, in
 * nanoseconds.
 */
public final class ReplicatedStoreModel {

  /**
   * A statement that had an effect.
   *
   * @param sequence its place in the group's history, from 1
   * @param connection the connection by which it came
   */
  public record Effect(
      long at,
      String rpc,
      int group,
      String server,
      String key,
      String value,
      long sequence,
      long connection) {}

  /**
   * A read that a server did.
   *
   * @param position all that was committed until then was to be seen
   * @param seen the sequence of the commit whose value it gave; zero for none
   */
  public record Read(
      long at, String rpc, int group, String server, String key, long position, long seen) {}

  /** A statement of a client that reached a server, whatever became of it. */
  public record Arrival(long at, String rpc, String server, long connection) {}

  private final Map<Integer, List<Effect>> histories = new HashMap<>();
  private final Map<String, List<Effect>> byKey = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private final List<Effect> effects = new ArrayList<>();
  private final List<Read> reads = new ArrayList<>();
  private final List<Arrival> arrivals = new ArrayList<>();

  synchronized void arrived(Arrival arrival) {
    arrivals.add(arrival);
  }

  /** Nothing is looked at here: whether it was done before is for the audit to find. */
  synchronized Effect commit(
      long at, String rpc, int group, String server, String key, String value, long connection) {
    List<Effect> history = histories.computeIfAbsent(group, g -> new ArrayList<>());
    Effect effect = new Effect(at, rpc, group, server, key, value, history.size() + 1, connection);
    history.add(effect);
    byKey.computeIfAbsent(group + "/" + key, k -> new ArrayList<>()).add(effect);
    effects.add(effect);
    done.add(rpc);
    return effect;
  }

  /** The value as it was then, or empty. */
  synchronized String read(
      long at, String rpc, int group, String server, String key, long position) {
    Effect last = null;
    for (Effect each : byKey.getOrDefault(group + "/" + key, List.of())) {
      if (each.at() <= position) {
        last = each;
      }
    }
    reads.add(new Read(at, rpc, group, server, key, position, last == null ? 0 : last.sequence()));
    return last == null ? "" : last.value();
  }

  /** Whether that RPC had its effect, as the primary's history has it. */
  synchronized boolean isDone(String rpc) {
    return done.contains(rpc);
  }

  public synchronized List<Effect> effects() {
    return List.copyOf(effects);
  }

  public synchronized List<Read> reads() {
    return List.copyOf(reads);
  }

  public synchronized List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /** What a server's clock reads, monotonic and as Unix time. */
  public static final class Clock {
    private final long zero = System.nanoTime();
    private final long unixAtZero = System.currentTimeMillis();

    public long nanos() {
      return System.nanoTime() - zero;
    }

    /** Rounded down: a position must never look fresher than it is. */
    public long unixMillis(long nanos) {
      return unixAtZero + Math.floorDiv(nanos, 1_000_000L);
    }

    public Duration since() {
      return Duration.ofNanos(nanos());
    }
  }
}
