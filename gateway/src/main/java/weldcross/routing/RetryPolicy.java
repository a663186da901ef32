package weldcross.routing;

import java.time.Duration;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;

/**
 * Decides whether a request may be sent or retried without being executed twice. Also limits hedged
 * attempts to a budget, so that they do not amplify an overload.
 */
final class RetryPolicy {

  /** Hedged attempts added to the budget per successful answer. */
  private static final double BUDGET_PER_SUCCESS = 0.1;

  private static final double INITIAL_BUDGET = 1;

  private final int maxAttempts;
  private final boolean parallelAttempts;

  /** Number of hedged attempts that may be sent now. */
  private double hedgeBudget = INITIAL_BUDGET;

  RetryPolicy(RoutingConfig config) {
    this.maxAttempts = config.maxAttempts();
    this.parallelAttempts = config.parallelAttempts();
  }

  /** Returns whether a first or further attempt may be sent now. */
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

  /** Returns whether only one attempt is left, which is reserved for a known primary. */
  boolean isLastAttempt(RequestState request) {
    return request.attempts.size() + 1 >= maxAttempts;
  }

  /**
   * Returns whether a scheduled attempt may still be sent without the request being executed twice.
   */
  boolean mayStillSend(Duration now, RequestState request) {
    boolean isOnlyAttempt = request.attemptsInFlight == 1 && !request.mayHaveExecuted;
    return request.requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY
        || isOnlyAttempt
        || isWithinDeduplicationWindow(now, request);
  }

  /**
   * Returns whether the endpoint would deduplicate the request if an earlier attempt was executed
   * elsewhere.
   */
  boolean canDeduplicate(RequestState request, EndpointState endpoint) {
    return request.requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY
        || request.requestClass.deduplicationScope() != DeduplicationScope.ZONE
        || request.attempts.isEmpty()
        || request.attempts.get(0).endpoint().zone.equals(endpoint.zone);
  }

  /** Returns whether the client may retry the request without it being executed twice. */
  boolean isSafeForClientToRetry(RequestState request) {
    return request.isIdempotent()
        || cannotHaveExecuted(request)
        || (request.requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
            && request.requestClass.deduplicationScope() == DeduplicationScope.ALL);
  }

  /** Returns whether a hedged attempt may be sent to a second endpoint. */
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

  /**
   * The window starts when the first attempt is sent, the earliest one that may have been executed.
   */
  private static boolean isWithinDeduplicationWindow(Duration now, RequestState request) {
    Duration sinceFirstSend = now.minus(request.attempts.get(0).sentAt());
    return sinceFirstSend.compareTo(request.requestClass.deduplicationWindow()) < 0;
  }
}
