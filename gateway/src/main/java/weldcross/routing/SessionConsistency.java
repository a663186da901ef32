package weldcross.routing;

import static weldcross.routing.Durations.later;

import java.time.Duration;
import java.util.Iterator;
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

  /**
   * Maximum memory of the tokens of all sessions, in bytes. Clients choose the names of their
   * sessions, which may be long and ever new; beyond this the oldest tokens are merged into the
   * floor.
   */
  static final int MAX_TOKEN_BYTES = 8 << 20;

  /** What a token occupies beside the name of its session, in bytes. */
  static final int TOKEN_OVERHEAD_BYTES = 160;

  /** How much later than the end of its attempt a write without an answer may be committed. */
  private static final Duration UNCERTAIN_COMMIT_MARGIN = Duration.ofMillis(30);

  private final boolean clientsCarryTokens;
  private final Map<SessionId, Duration> tokens = new LinkedHashMap<>();

  /** What the tokens occupy, in bytes. */
  private long tokenBytes;

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
    Duration previous = tokens.remove(request.session);
    tokenBytes += previous == null ? bytesOf(request.session) : 0;
    tokens.put(request.session, later(previous, token));
    mergeBeyondLimit();
  }

  /** Merges the tokens of the sessions that wrote longest ago, while the tokens hold too much. */
  private void mergeBeyondLimit() {
    Iterator<Map.Entry<SessionId, Duration>> oldest = tokens.entrySet().iterator();
    while (tokenBytes > MAX_TOKEN_BYTES) {
      mergeIntoFloor(oldest.next());
      oldest.remove();
    }
  }

  /** Merges the tokens that are older than their retention into the floor. */
  void expireTokens(Duration now) {
    tokens
        .entrySet()
        .removeIf(
            entry -> {
              boolean expired = now.minus(TOKEN_RETENTION).compareTo(entry.getValue()) >= 0;
              if (expired) {
                mergeIntoFloor(entry);
              }
              return expired;
            });
  }

  /** Merges a token that is about to be removed. */
  private void mergeIntoFloor(Map.Entry<SessionId, Duration> token) {
    expiredTokenFloor = later(expiredTokenFloor, token.getValue());
    tokenBytes -= bytesOf(token.getKey());
  }

  private static int bytesOf(SessionId session) {
    return session.name().length() + TOKEN_OVERHEAD_BYTES;
  }
}
