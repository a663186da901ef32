package weldcross.chaos.soak;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;

/**
 * One thing that a soak does.
 *
 * @param at since the load began
 * @param kind what is done
 * @param hosts the gateways or servers it is done to, all at once; empty for discovery and crowds
 * @param times as the kind says
 */
public record SoakStep(Duration at, Kind kind, List<String> hosts, List<Duration> times) {

  /** The kinds of steps. */
  public enum Kind {
    /** SIGTERM after each of the times; SIGKILL at its earliest; a new start. */
    STOP(true),
    /** A stop and a new start, which gets SIGTERM after the time; then another start. */
    STOP_WHILE_STARTING(true),
    /** A stop and a new start, which gets SIGTERM as soon as it is ready; then another start. */
    STOP_WHEN_READY(true),
    /** SIGHUP after each of the times. */
    RELOAD(true),
    /** SIGHUP and at once SIGTERM, and the same again after each of the times; a new start. */
    RELOAD_AND_STOP(true),
    /** SIGSTOP and SIGCONT by turns, for each of the times. */
    PAUSE(true),
    /** A server's statements wait for the first of the times. */
    SERVER_HANGS(false),
    /** A server dies, and is back, cold, after the first of the times. */
    SERVER_RESTARTS(false),
    /** A server drains for the first of the times. */
    SERVER_DRAINS(false),
    /** A server's data are behind, for the first of the times, by the second. */
    SERVER_LAGS(false),
    /** Discovery cannot be reached for the first of the times. */
    DISCOVERY_DOWN(false),
    /** What discovery says comes late, for the first of the times, by the second. */
    DISCOVERY_LATE(false),
    /** Many clients connect, and leave together after each of the times. */
    CROWD(false);

    private final boolean onGateway;

    Kind(boolean onGateway) {
      this.onGateway = onGateway;
    }

    /**
     * Returns whether it sends signals to gateways.
     *
     * @return true for steps whose hosts are gateways
     */
    public boolean isOnGateway() {
      return onGateway;
    }
  }

  /**
   * Returns which steps must not act at the same time.
   *
   * @return a name that steps share if each waits for the end of the one before
   */
  public String lane() {
    return switch (kind) {
      case SERVER_HANGS, SERVER_RESTARTS, SERVER_DRAINS, SERVER_LAGS -> String.join(",", hosts);
      case DISCOVERY_DOWN, DISCOVERY_LATE -> "discovery";
      case CROWD -> "crowd";
      default -> "signals";
    };
  }

  /**
   * Describes it for a reader.
   *
   * @return one line
   */
  public String describe() {
    String when = times.stream().map(t -> t.toMillis() + " ms").collect(Collectors.joining(", "));
    return at.toMillis() + " ms " + kind + " " + String.join(",", hosts) + " [" + when + "]";
  }
}
