package weldcross.routing;

import java.time.Duration;

/**
 * What a {@link Router} can do to the world; calls take effect at the moment of the event under
 * way.
 */
public interface RouterActions {

  /**
   * Sends the RPC to the server; it is dropped at {@code until}, or when the client gives up if
   * sooner.
   */
  void callOut(RequestId rpc, ServerId server, Duration until);

  /** Stops waiting for one call-out; whether the server stops working on it is its own matter. */
  void cancel(RequestId rpc, int callOut);

  /**
   * Final answer: nothing ran that matters, trying again is harmless; zero gives no time to come
   * back.
   */
  void pushBack(RequestId rpc, Duration comeBackAfter);

  /** Final answer: failed, with no promise about its effect. */
  void abort(RequestId rpc);

  void probe(ServerId server);

  /** Tells all other gateways that no process was found there; the message may be lost. */
  void tellPeers(ServerId server);

  /**
   * The server left the list, nothing is out there, and it is not called until it is listed again.
   */
  void forget(ServerId server);

  /** Asks for changes of the server list from now on. */
  void watchList();

  /** Asks for {@link Router#timerRang} at {@code at}; the one periodic timer of the instance. */
  void ringAt(Duration at);

  /** Asks for {@link Router#dueReached} at {@code at}, for the earliest of the due times. */
  void dueAt(Duration at);
}
