package weldcross.chaos.process;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions by polling. */
public final class Await {

  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private Await() {}

  /**
   * Waits until a condition holds.
   *
   * @param description describes the condition in the exception
   * @param timeout the maximum time to wait
   * @param condition checked every few milliseconds
   * @throws IOException if the condition does not hold within the timeout
   */
  public static void until(String description, Duration timeout, BooleanSupplier condition)
      throws IOException {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new IOException("timed out after " + timeout.toMillis() + " ms: " + description);
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }
}
