package weldcross.extension;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * A timer of which only the last requested time counts. Used on the gateway's thread alone.
 *
 * <p>Requests that were replaced stay in the gateway's timer queue and do nothing when they run.
 */
public final class RestartableTimer {

  private final ExtensionContext context;
  private final Consumer<Duration> onTimer;
  private Duration scheduledAt;

  /**
   * Creates a timer that is not set.
   *
   * @param onTimer is given the time at which it runs
   */
  public RestartableTimer(ExtensionContext context, Consumer<Duration> onTimer) {
    this.context = context;
    this.onTimer = onTimer;
  }

  /** Sets the timer, in place of any earlier request. */
  public void schedule(Duration when) {
    scheduledAt = when;
    context.at(
        when,
        () -> {
          if (when.equals(scheduledAt)) {
            onTimer.accept(context.now());
          }
        });
  }
}
