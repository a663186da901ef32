package weldcross.routing;

import static weldcross.routing.Durations.later;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides whether the data of an endpoint is fresh enough for a read, by the staleness bound, the
 * arrival time of the read, or the session token, which is the position of the last write of the
 * session.
 */
final class SessionConsistency {

  /**
   * How long the token of a session is kept. After that it is merged into the floor, the minimum
   * position for all sessions without a token.
   */
  private static final Duration TOKEN_RETENTION = Duration.ofSeconds(60);

  /** How much later than the end of its attempt a write without an answer may be committed. */
  private static final Duration UNCERTAIN_COMMIT_MARGIN = Duration.ofMillis(30);

  private final boolean clientsCarryTokens;
  private final Map<SessionId, Duration> tokens = new LinkedHashMap<>();

  /** The latest expired token; null if none has expired. */
  private Duration expiredTokenFloor;

  SessionConsistency(RoutingConfig config) {
    this.clientsCarryTokens = config.clientsCarryTokens();
  }

  /** Returns whether the endpoint, as a replica, may serve the read now. */
  boolean isFreshEnough(Duration now, RequestState request, EndpointState endpoint) {
    Duration position = endpoint.position;
    return switch (request.requestClass.consistency()) {
      case ANY -> true;
      case BOUNDED ->
          position != null
              && now.minus(position).compareTo(request.requestClass.stalenessBound()) < 0;
      case SESSION -> {
        Duration token = token(request);
        yield token == null || (position != null && position.compareTo(token) >= 0);
      }
      case FRESH -> position != null && position.compareTo(request.arrivedAt) >= 0;
      case WRITE -> false;
    };
  }

  /**
   * Returns the minimum position for a read of the request's session; null if any position is
   * sufficient. The result may change while the read waits, when a write of the same session is
   * answered.
   */
  Duration token(RequestState request) {
    return clientsCarryTokens
        ? request.clientToken
        : tokens.getOrDefault(request.session, expiredTokenFloor);
  }

  /**
   * Records the outcome of an attempt. A write that may have been executed advances the token of
   * its session.
   *
   * @param position the commit position; null if the answer does not contain it
   */
  void recordOutcome(
      Duration now, RequestState request, AttemptOutcome outcome, Duration position) {
    if (!request.isWrite()
        || outcome.provesNotExecuted()
        || request.session == null
        || clientsCarryTokens) {
      return;
    }
    Duration committed = outcome == AttemptOutcome.OK ? now : now.plus(UNCERTAIN_COMMIT_MARGIN);
    Duration token = position == null ? committed : position;
    tokens.put(request.session, later(tokens.remove(request.session), token));
  }

  /** Merges old tokens into the floor, so that the map does not grow without bound. */
  void expireTokens(Duration now) {
    tokens
        .values()
        .removeIf(
            token -> {
              boolean expired = now.minus(TOKEN_RETENTION).compareTo(token) >= 0;
              expiredTokenFloor = expired ? later(expiredTokenFloor, token) : expiredTokenFloor;
              return expired;
            });
  }
}
