package weldcross.extension;

import java.time.Duration;

/**
 * What a {@link GatewayExtension} may ask of its gateway. All but {@link #post} is called on the
 * gateway's thread.
 */
public interface ExtensionContext {

  /** Time since the gateway's start, as the change under way has it; never goes back. */
  Duration now();

  /** Has this run at that time, or at once where that has passed, as a change of its own. */
  void at(Duration when, Runnable due);

  /** Has this run in the same moment, but not inside the call that is being made. */
  void soon(Runnable next);

  /** From any thread: has this run on the gateway's, in the order of the calls from one thread. */
  void post(Runnable event);

  /** Whether the part is ready, or done, may have changed: the gateway looks again. */
  void changed();

  /**
   * What all gateways may do together is divided so that this one has this share from now on.
   *
   * @param share above 0, at most 1
   */
  void setQuota(double share);
}
