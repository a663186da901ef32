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
  void sendAttempt(RequestId rpc, ServerId server, Duration until);

  /** Stops waiting for one call-out; whether the server stops working on it is its own matter. */
  void cancel(RequestId rpc, int attempt);

  /**
   * Final answer: nothing ran that matters, trying again is harmless; zero gives no time to come
   * back.
   */
  void reject(RequestId rpc, Duration retryAfter);

  /** Final answer: failed, with no promise about its effect. */
  void fail(RequestId rpc);

  void sendHealthCheck(ServerId server);

  /** Tells all other gateways that no process was found there; the message may be lost. */
  void gossipUnreachable(ServerId server);

  /**
   * The server left the list, nothing is out there, and it is not called until it is listed again.
   */
  void endpointRemoved(ServerId server);

  /** Asks for changes of the server list from now on. */
  void watchEndpointList();

  /** Asks for {@link Router#tick} at {@code at}; the one periodic timer of the instance. */
  void scheduleTick(Duration at);

  /** Asks for {@link Router#timersDue} at {@code at}, for the earliest of the due times. */
  void scheduleTimer(Duration at);
}
