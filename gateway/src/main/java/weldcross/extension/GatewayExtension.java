package weldcross.extension;

/**
 * A subsystem that runs inside a gateway: an adapter that performs the I/O for the deterministic
 * logic of its module.
 *
 * <p>The gateway calls all methods on the one thread that owns its state, so they must not block.
 * Events of other threads, such as socket and disk I/O, are passed to that thread with {@link
 * ExtensionContext#post}. Extensions start in the configured order and stop in reverse order. See
 * docs/architecture.md for how to add one.
 */
public interface GatewayExtension {

  /** Returns the short name used in the log and as the table name in the extensions file. */
  String name();

  /**
   * Starts the extension; called once, before the gateway listens for clients.
   *
   * @param context services of the gateway, usable until {@link #stop}
   * @throws IllegalStateException if the extension cannot operate; the gateway then exits with a
   *     failure
   */
  void start(ExtensionContext context);

  /** Returns whether this extension allows the gateway to report itself ready. */
  default boolean isReady() {
    return true;
  }

  /**
   * Called after the gateway has reloaded its configuration. Most extensions ignore this, as their
   * own configuration is fixed at startup.
   */
  default void configReloaded() {}

  /**
   * Called when graceful shutdown begins: pending RPCs are completed, and no new ones are accepted.
   * Most extensions keep operating until {@link #stop}.
   */
  default void drain() {}

  /**
   * Returns whether the gateway may exit without waiting for this extension. An extension that
   * returns false after {@link #drain} must bound the wait itself.
   */
  default boolean isDrained() {
    return true;
  }

  /** Closes all resources immediately; called last. */
  void stop();

  /** Returns a one-line summary for the gateway's log, without a line terminator. */
  String describe();
}
