package weldcross.consensus.raft;

import java.time.Clock;
import java.time.Duration;

/**
 * Watches for a node that has heard no leader for long and has to be restarted.
 *
 * <p>MicroRaft 0.7 leaves a node stuck in two cases: one that was collecting pre-votes when a
 * leader appeared does not stand again once that leader is gone, and one whose pre-votes are
 * rejected for its old term never learns of the new one. A node of a minority, and one whose
 * process was paused, are restarted too, which loses nothing that is stored.
 */
final class LeaderWatch {

  /** A node is restarted after so many leader timeouts. */
  private static final int LEADER_TIMEOUTS = 4;

  private final Clock clock;
  private final Duration timeout;
  private long heardAtMillis;

  /**
   * Creates a watch that has yet to be reset.
   *
   * @param leaderTimeout after which the library itself seeks another leader
   */
  LeaderWatch(Clock clock, Duration leaderTimeout) {
    this.clock = clock;
    this.timeout = leaderTimeout.multipliedBy(LEADER_TIMEOUTS);
  }

  /** A leader has been heard, or a node has been started. */
  void reset() {
    heardAtMillis = clock.millis();
  }

  /** Whether no leader has been heard for too long. */
  boolean isExpired() {
    return clock.millis() - heardAtMillis > timeout.toMillis();
  }
}
