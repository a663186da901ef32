package weldcross.routing;

import static weldcross.routing.Durations.later;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides whether an endpoint's data is fresh enough for a read: by the staleness bound, the time
 * of arrival, or the token of the session, which is the position of its last write.
 */
final class SessionConsistency {

  /** After this time a token joins the floor that all sessions without a token must see. */
  private static final Duration TOKEN_RETENTION = Duration.ofSeconds(60);

  /** A write whose answer was not received may have been committed up to this much later. */
  private static final Duration UNCERTAIN_COMMIT_MARGIN = Duration.ofMillis(30);

  private final boolean clientsCarryTokens;
  private final Map<SessionId, Duration> tokens = new LinkedHashMap<>();

  /** The latest token that has expired; null before the first one. */
  private Duration expiredTokenFloor;

  SessionConsistency(RoutingConfig config) {
    this.clientsCarryTokens = config.clientsCarryTokens();
  }

  /** Whether the endpoint, as a replica, may answer the read now. */
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
   * Returns the position that the request's session must see as of now, since a write of the
   * session may have been answered while the read waited; null where any will do.
   */
  Duration token(RequestState request) {
    return clientsCarryTokens
        ? request.clientToken
        : tokens.getOrDefault(request.session, expiredTokenFloor);
  }

  /**
   * Takes in the end of an attempt; a write that may have been executed raises its session's token.
   *
   * @param position the position of the commit; null where the answer does not tell
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

  /** Folds old tokens into the floor, so that the table does not grow for ever. */
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
