package weldcross.chaos.soak;

import java.time.Duration;

/**
 * How a gateway process ended. Times are relative to the start of the load.
 *
 * @param gateway name of the gateway
 * @param sigtermAt when the process received its first SIGTERM; null if it received none
 * @param endedAt when the exit was observed
 * @param killed whether the process received SIGKILL after its grace period
 * @param status exit status; unused if the process was killed
 * @param starting whether SIGTERM was sent before the process was ready
 */
public record ProcessExit(
    String gateway,
    Duration sigtermAt,
    Duration endedAt,
    boolean killed,
    int status,
    boolean starting) {

  /** Exit status of a JVM that receives SIGTERM before the program has installed its handlers. */
  private static final int DEFAULT_SIGTERM_STATUS = 128 + 15;

  /**
   * Formats the exit for a terminal.
   *
   * @return gateway and times
   */
  public String describe() {
    return gateway
        + ", SIGTERM at "
        + (sigtermAt == null ? "none" : sigtermAt.toMillis() + " ms")
        + (starting ? " while starting" : "")
        + ", ended at "
        + endedAt.toMillis()
        + " ms";
  }

  /** Whether the process ended after SIGTERM, regularly or by SIGKILL after its grace period. */
  boolean isExpected() {
    return sigtermAt != null
        && (killed || status == 0 || (starting && status == DEFAULT_SIGTERM_STATUS));
  }
}
