package weldcross.routing;

import java.time.Duration;

/**
 * The actions that a {@link Router} requests from its host. They take effect at the time of the
 * event being handled, and implementations must not call back into the router. Times are relative
 * to the start of the router.
 */
public interface RouterActions {

  /**
   * Sends the request to the server. The attempts of a request are numbered from zero, in order.
   *
   * @param expiresAt when the attempt times out; it ends earlier if the client stops waiting
   *     earlier
   */
  void sendAttempt(RequestId request, ServerId server, Duration expiresAt);

  /** Cancels one attempt. The server may or may not stop working on it. */
  void cancel(RequestId request, int attempt);

  /**
   * Rejects the request: its final answer is that the client may safely retry it.
   *
   * @param retryAfter how long the client should wait before it retries; zero to specify no time
   */
  void reject(RequestId request, Duration retryAfter);

  /** Fails the request: its final answer is an error, and it may have been executed. */
  void fail(RequestId request);

  /** Sends a health check; its end is passed to {@link Router#healthCheckEnded}. */
  void sendHealthCheck(ServerId server);

  /** Notifies all other gateways that the server is unreachable. The message may be lost. */
  void gossipUnreachable(ServerId server);

  /**
   * Notifies the host that the server has been removed from the endpoint list and has no attempts
   * in flight. Nothing is sent to it until it is listed again.
   */
  void endpointRemoved(ServerId server);

  /** Requests the endpoint list and its changes from now on. */
  void requestEndpointList();

  /** Schedules {@link Router#tick}. There is one periodic timer. */
  void scheduleTick(Duration at);

  /** Schedules {@link Router#timersDue} for the earliest time at which any timer is due. */
  void scheduleTimer(Duration at);
}
