package weldcross.extension;

import java.time.Duration;

/**
 * Services that a gateway provides to a {@link GatewayExtension}. All methods except {@link #post}
 * must be called on the gateway's thread.
 */
public interface ExtensionContext {

  /** Returns the time of the current event since the gateway's start; monotonic. */
  Duration now();

  /** Runs the task as a separate event at the given time, or immediately if it has passed. */
  void schedule(Duration when, Runnable task);

  /** Runs the task after the current call has returned, without advancing the time. */
  void defer(Runnable task);

  /**
   * Runs the task on the gateway's thread. May be called from any thread; tasks posted by one
   * thread run in order.
   */
  void post(Runnable task);

  /** Notifies the gateway that the extension may have become ready, not ready or drained. */
  void stateChanged();

  /**
   * Sets this gateway's share of the limits that all gateways share.
   *
   * @param share greater than 0, at most 1
   */
  void setQuota(double share);
}
