package weldcross.extension;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * A timer that fires only at the last requested time. Must be used on the gateway's thread.
 *
 * <p>Replaced requests stay in the gateway's timer queue and have no effect when they run.
 */
public final class RestartableTimer {

  private final ExtensionContext context;
  private final Consumer<Duration> onTimer;
  private Duration scheduledAt;

  /**
   * Creates a timer that is not scheduled.
   *
   * @param onTimer receives the time at which the timer fires
   */
  public RestartableTimer(ExtensionContext context, Consumer<Duration> onTimer) {
    this.context = context;
    this.onTimer = onTimer;
  }

  /** Schedules the timer, replacing any earlier request. */
  public void schedule(Duration when) {
    scheduledAt = when;
    context.schedule(
        when,
        () -> {
          if (when.equals(scheduledAt)) {
            onTimer.accept(context.now());
          }
        });
  }
}
