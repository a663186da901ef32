package weldcross.routing;

import java.time.Duration;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;

/**
 * Decides whether a request may be sent, or sent again, without taking effect twice, and keeps the
 * budget of hedged attempts so that they do not feed an overload.
 */
final class RetryPolicy {

  private static final double BUDGET_PER_SUCCESS = 0.1;
  private static final double INITIAL_BUDGET = 1;

  private final int maxAttempts;
  private final boolean parallelAttempts;

  /** Hedged attempts that may be sent. */
  private double hedgeBudget = INITIAL_BUDGET;

  RetryPolicy(RoutingConfig config) {
    this.maxAttempts = config.maxAttempts();
    this.parallelAttempts = config.parallelAttempts();
  }

  /** Whether the request may be sent now, be it for the first time or again. */
  boolean maySend(Duration now, RequestState request) {
    if (request.attempts.size() >= maxAttempts
        || (request.attemptsInFlight > 0 && !parallelAttempts)) {
      return false;
    }
    return cannotHaveExecuted(request)
        || switch (request.requestClass.idempotency()) {
          case IDEMPOTENT -> true;
          case IDEMPOTENT_BY_KEY -> isWithinDeduplicationWindow(now, request);
          case NON_IDEMPOTENT -> false;
        };
  }

  /** Whether only one attempt is left, which is kept for a primary that is known. */
  boolean isLastAttempt(RequestState request) {
    return request.attempts.size() + 1 >= maxAttempts;
  }

  /** Whether an attempt that was decided earlier may still be written without an effect twice. */
  boolean mayStillSend(Duration now, RequestState request) {
    boolean only = request.attemptsInFlight == 1 && !request.mayHaveExecuted;
    return request.requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY
        || only
        || isWithinDeduplicationWindow(now, request);
  }

  /** Whether the endpoint would recognise the request as one that has run elsewhere. */
  boolean canDeduplicate(RequestState request, EndpointState endpoint) {
    return request.requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY
        || request.requestClass.deduplicationScope() != DeduplicationScope.ZONE
        || request.attempts.isEmpty()
        || request.attempts.get(0).endpoint().zone.equals(endpoint.zone);
  }

  /** Whether the client may send the request again without an effect twice. */
  boolean isSafeForClientToRetry(RequestState request) {
    return request.isIdempotent()
        || cannotHaveExecuted(request)
        || (request.requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
            && request.requestClass.deduplicationScope() == DeduplicationScope.ALL);
  }

  /** Whether a request without an answer may be sent to a second endpoint. */
  boolean mayHedge(RequestState request) {
    return !request.finished
        && request.isIdempotent()
        && request.attemptsInFlight <= 1
        && hedgeBudget >= 1;
  }

  void recordSuccess() {
    hedgeBudget += BUDGET_PER_SUCCESS;
  }

  void recordHedges(int count) {
    hedgeBudget -= count;
  }

  private static boolean cannotHaveExecuted(RequestState request) {
    return request.attemptsInFlight == 0 && !request.mayHaveExecuted;
  }

  /** The window runs from the first send, the earliest that may have been executed. */
  private static boolean isWithinDeduplicationWindow(Duration now, RequestState request) {
    Duration sinceFirstSend = now.minus(request.attempts.get(0).sentAt());
    return sinceFirstSend.compareTo(request.requestClass.deduplicationWindow()) < 0;
  }
}
