package weldcross.membership;

import java.time.Duration;

/**
 * Lifeguard's local health score: a gateway that receives no responses assumes that it is itself
 * unhealthy and extends its timeouts before it suspects other members.
 */
final class LocalHealth {

  static final int MAX_SCORE = 8;

  private int score;

  /** Returns the score: 0 is healthy; each point adds one base timeout. */
  int score() {
    return score;
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  void worsen(int points) {
    score = Math.min(MAX_SCORE, score + points);
  }

  /** Returns the base timeout extended according to the score. */
  Duration scale(Duration timeout) {
    return timeout.multipliedBy(score + 1L);
  }
}
