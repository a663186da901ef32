package weldcross.membership;

import java.time.Duration;

/**
 * Lifeguard's local health: a gateway that gets no answers suspects itself first and gives others
 * more time.
 */
final class LocalHealth {

  static final int MAX_SCORE = 8;

  private int score;

  /** Zero where all is well; each step gives others one timeout more. */
  int score() {
    return score;
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  void worsen(int steps) {
    score = Math.min(MAX_SCORE, score + steps);
  }

  /** The timeout to use in place of the configured one. */
  Duration scale(Duration timeout) {
    return timeout.multipliedBy(score + 1L);
  }
}
