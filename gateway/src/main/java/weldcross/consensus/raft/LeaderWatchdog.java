package weldcross.consensus.raft;

import java.time.Clock;
import java.time.Duration;

/**
 * Watchdog that expires when a node has received nothing from a leader for so long that it has to
 * be restarted.
 *
 * <p>Works around two cases in which a MicroRaft 0.7 node gets stuck: a node that was collecting
 * pre-votes when a leader appeared does not start another election after that leader fails, and a
 * node whose pre-votes are rejected because of its outdated term never learns the new term. Nodes
 * in a minority partition, or whose process was paused, are restarted as well, which is harmless
 * because no stored data is lost.
 */
final class LeaderWatchdog {

  /** Number of leader timeouts after which the watchdog expires. */
  private static final int LEADER_TIMEOUTS = 4;

  private final Clock clock;
  private final Duration timeout;
  private long resetAtMillis;

  /**
   * Creates a watchdog that must be reset before use.
   *
   * @param leaderTimeout time without a heartbeat after which the Raft library starts an election
   */
  LeaderWatchdog(Clock clock, Duration leaderTimeout) {
    this.clock = clock;
    this.timeout = leaderTimeout.multipliedBy(LEADER_TIMEOUTS);
  }

  /** Restarts the timeout; called on each message from a leader and when a node is started. */
  void reset() {
    resetAtMillis = clock.millis();
  }

  /** Returns whether the timeout has expired since the last reset. */
  boolean isExpired() {
    return clock.millis() - resetAtMillis > timeout.toMillis();
  }
}
