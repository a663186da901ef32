package weldcross.chaos.process;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions that come about by themselves. */
public final class Await {

  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private Await() {}

  /**
   * Waits until a condition holds.
   *
   * @param description of the condition, for the exception
   * @param timeout how long to wait at most
   * @param condition checked every few milliseconds
   * @throws IOException if it does not hold in time
   */
  public static void until(String description, Duration timeout, BooleanSupplier condition)
      throws IOException {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new IOException("not within " + timeout.toMillis() + " ms: " + description);
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }
}
