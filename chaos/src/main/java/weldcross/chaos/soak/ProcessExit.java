package weldcross.chaos.soak;

import java.time.Duration;

/**
 * How a process of a gateway ended. Times are since the load began.
 *
 * @param gateway its name
 * @param termAt when it first got SIGTERM; null if it was never told to end
 * @param at when its end was seen
 * @param killed whether it had to be killed at SIGKILL's earliest
 * @param status its exit status; unused if it was killed
 * @param starting whether SIGTERM came before it was ready
 */
public record ProcessExit(
    String gateway, Duration termAt, Duration at, boolean killed, int status, boolean starting) {

  /** The exit status by which a JVM ends on SIGTERM before the program has taken over. */
  private static final int TERMINATED = 128 + 15;

  /**
   * Describes it for a reader.
   *
   * @return gateway and times
   */
  public String describe() {
    return gateway
        + ", SIGTERM at "
        + (termAt == null ? "none" : termAt.toMillis() + " ms")
        + (starting ? " while starting" : "")
        + ", ended at "
        + at.toMillis()
        + " ms";
  }

  /** Whether it ended as it was told to, or had not ended by itself when it was killed. */
  boolean isInOrder() {
    return termAt != null && (killed || status == 0 || (starting && status == TERMINATED));
  }
}
