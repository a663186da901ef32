package weldcross.chaos.soak;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;

/**
 * One step of a soak test.
 *
 * @param at when the step starts, since the start of the load
 * @param kind kind of the step
 * @param hosts affected gateways or servers, all at the same time; empty for steps on discovery and
 *     bursts of idle connections
 * @param times durations whose meaning depends on the kind
 */
public record SoakStep(Duration at, Kind kind, List<String> hosts, List<Duration> times) {

  /** The kinds of steps. The names of the constants are part of stored plans. */
  public enum Kind {
    /** SIGTERM after each of the times, SIGKILL after the grace period, then a restart. */
    STOP(true),
    /** A stop and a restart; the new process gets SIGTERM after each of the times; a restart. */
    STOP_WHILE_STARTING(true),
    /** A stop as above and a restart; the new process gets SIGTERM once ready; a restart. */
    STOP_WHEN_READY(true),
    /** SIGHUP after each of the times. */
    RELOAD(true),
    /** SIGHUP immediately followed by SIGTERM, after each of the times; then a restart. */
    RELOAD_AND_STOP(true),
    /** SIGSTOP, then SIGCONT after the time; for each of the times. */
    PAUSE(true),
    /** A server does not process statements for the first of the times. */
    SERVER_HANGS(false),
    /** A server is killed; it restarts after the first of the times, with cold caches. */
    SERVER_RESTARTS(false),
    /** A server is draining for the first of the times. */
    SERVER_DRAINS(false),
    /** A server's data lag by the second of the times, for the first of the times. */
    SERVER_LAGS(false),
    /** Discovery is unreachable for the first of the times. */
    DISCOVERY_DOWN(false),
    /** Messages of discovery are delayed by the second of the times, for the first of the times. */
    DISCOVERY_LATE(false),
    /** Many idle clients connect, and disconnect together after the time; for each of the times. */
    CROWD(false);

    private final boolean onGateway;

    Kind(boolean onGateway) {
      this.onGateway = onGateway;
    }

    /**
     * Returns whether the step sends signals to gateways.
     *
     * @return true for steps whose hosts are gateways
     */
    public boolean isOnGateway() {
      return onGateway;
    }
  }

  /**
   * Returns the queue of the step. Steps of one queue run one after another.
   *
   * @return name of the queue
   */
  public String queue() {
    return switch (kind) {
      case SERVER_HANGS, SERVER_RESTARTS, SERVER_DRAINS, SERVER_LAGS -> String.join(",", hosts);
      case DISCOVERY_DOWN, DISCOVERY_LATE -> "discovery";
      case CROWD -> "idle connections";
      default -> "signals";
    };
  }

  /**
   * Formats the step as text.
   *
   * @return one line
   */
  public String describe() {
    String durations =
        times.stream().map(time -> time.toMillis() + " ms").collect(Collectors.joining(", "));
    return at.toMillis() + " ms " + kind + " " + String.join(",", hosts) + " [" + durations + "]";
  }
}
