package weldcross.extension;

/**
 * A subsystem that joins a gateway: an adapter that turns what its own pure module decides into
 * effects. All is called on the one thread that owns the gateway's state, never waits, and is
 * called by the gateway alone; what happens elsewhere (a socket, a disk) comes back by {@link
 * ExtensionContext#post}. Parts are started in the order told and ended in the reverse one. See
 * docs/architecture.md for how to add one.
 */
public interface GatewayExtension {

  /** A word for the log, also the name of its table in the file of terms. */
  String name();

  /**
   * Called once, before clients are listened for.
   *
   * @param seam what it may ask of the gateway, for as long as it lives
   * @throws IllegalStateException where it cannot work at all; the gateway then ends with a fault
   */
  void start(ExtensionContext seam);

  /** Whether the gateway may call itself ready for all that this part knows. */
  boolean isReady();

  /**
   * The gateway was told to read its configuration again; a part's own terms hold from its start
   * on.
   */
  void reloaded();

  /** The gateway was told to stop: RPCs in hand are still worked on, no new ones are wanted. */
  void drain();

  /**
   * Whether nothing of this part has to be waited for before the gateway ends; within a bound of
   * its own.
   */
  boolean isDone();

  /** The last call: whatever is open ends, at once. */
  void stop();

  /** What it holds true, for the state that the log gives: one line without an end. */
  String describe();
}
