package weldcross.extension;

/**
 * A subsystem that joins a gateway: an adapter that turns the decisions of its own pure module into
 * effects.
 *
 * <p>All methods are called by the gateway, on the one thread that owns its state, and must not
 * block. What happens elsewhere (a socket, a disk) is handed to that thread by {@link
 * ExtensionContext#post}. Extensions are started in the configured order and stopped in the reverse
 * one. See docs/architecture.md for how to add one.
 */
public interface GatewayExtension {

  /** A short name for the log; also the name of its table in the extensions' file. */
  String name();

  /**
   * Called once, before the gateway listens for clients.
   *
   * @param context what the extension may ask of the gateway until it is stopped
   * @throws IllegalStateException where the extension cannot work at all; the gateway then exits
   *     with a failure
   */
  void start(ExtensionContext context);

  /** Whether, for all that this extension knows, the gateway may report itself ready. */
  default boolean isReady() {
    return true;
  }

  /**
   * The gateway has read its configuration again. Most extensions ignore this, as their own
   * configuration is fixed at their start.
   */
  default void reloaded() {}

  /**
   * The gateway shuts down: RPCs under way are still completed, no new ones are wanted. Most
   * extensions work on until {@link #stop}.
   */
  default void drain() {}

  /**
   * Whether the gateway need not wait for this extension before it exits. An extension that answers
   * false after {@link #drain} bounds the wait itself.
   */
  default boolean isDone() {
    return true;
  }

  /** The last call: closes at once whatever is open. */
  void stop();

  /** The extension's state for the gateway's log, in one line without a line end. */
  String describe();
}
