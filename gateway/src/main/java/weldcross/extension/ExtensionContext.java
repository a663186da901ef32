package weldcross.extension;

import java.time.Duration;

/**
 * What a {@link GatewayExtension} may ask of its gateway. All methods but {@link #post} must be
 * called on the gateway's thread.
 */
public interface ExtensionContext {

  /** Time since the gateway's start as of the current event; never goes back. */
  Duration now();

  /** Runs the task at that time, or at once if it has passed, as an event of its own. */
  void at(Duration when, Runnable task);

  /** Runs the task at the same time, after the current call has returned. */
  void soon(Runnable task);

  /**
   * From any thread: runs the task on the gateway's thread. Tasks of one thread keep their order.
   */
  void post(Runnable task);

  /** Tells the gateway that the extension's readiness, or whether it is done, may have changed. */
  void changed();

  /**
   * Sets this gateway's share of the limits that all gateways have together.
   *
   * @param share above 0, at most 1
   */
  void setQuota(double share);
}
