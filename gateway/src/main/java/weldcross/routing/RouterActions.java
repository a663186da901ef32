package weldcross.routing;

import java.time.Duration;

/**
 * What a {@link Router} asks of its host. Calls take effect at the time of the event that the
 * router handles, and must not call back into it. Times count from the start of the router.
 */
public interface RouterActions {

  /**
   * Sends the request to the server; the attempts of a request are numbered from zero.
   *
   * @param expiresAt when the attempt ends without an answer; sooner if the client gives up sooner
   */
  void sendAttempt(RequestId request, ServerId server, Duration expiresAt);

  /** Stops waiting for one attempt; whether the server stops working on it is its own matter. */
  void cancel(RequestId request, int attempt);

  /**
   * Gives the final answer that the request was turned away and may be sent again without harm.
   *
   * @param retryAfter how long the client should wait before; zero to name no time
   */
  void reject(RequestId request, Duration retryAfter);

  /** Gives the final answer that the request failed; it may have been executed. */
  void fail(RequestId request);

  /** Sends a health check, whose end goes to {@link Router#healthCheckEnded}. */
  void sendHealthCheck(ServerId server);

  /** Tells all other gateways that the server could not be reached; the message may be lost. */
  void gossipUnreachable(ServerId server);

  /**
   * Says that the server has left the list and has nothing in flight: it gets nothing until it is
   * listed again.
   */
  void endpointRemoved(ServerId server);

  /** Asks for changes of the endpoint list from now on. */
  void watchEndpointList();

  /** Asks for {@link Router#tick} at {@code at}; there is one periodic timer. */
  void scheduleTick(Duration at);

  /** Asks for {@link Router#timersDue} at {@code at}, the earliest time that any timer is due. */
  void scheduleTimer(Duration at);
}
