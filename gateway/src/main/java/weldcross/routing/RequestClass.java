package weldcross.routing;

import java.time.Duration;

/**
 * A class of requests with the same needs.
 *
 * @param stalenessBound how old the data of a {@link Consistency#BOUNDED} read may be
 * @param deduplicationWindow how long after the first send a retry of an {@link
 *     Idempotency#IDEMPOTENT_BY_KEY} request is recognised
 * @param latencyObjective the time from arrival within which an answer has its full worth
 * @param priorityWeight the worth of an answer within the objective, above 0
 * @param lateWeight the share of that worth that a later answer has, in [0, 1]
 */
public record RequestClass(
    Consistency consistency,
    Duration stalenessBound,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    Duration deduplicationWindow,
    Duration latencyObjective,
    double priorityWeight,
    double lateWeight) {

  /** What the data must hold for a request. */
  public enum Consistency {
    /** A write, which only the primary takes. */
    WRITE,

    /** All that was committed before the request arrived. */
    FRESH,

    /** All that the session has written. */
    SESSION,

    /** Data no older than the staleness bound when the request is sent. */
    BOUNDED,

    /** Any state. */
    ANY
  }

  /** Whether a request may be executed more than once. */
  public enum Idempotency {
    /** It may. */
    IDEMPOTENT,

    /** It may where a retry is recognised by its key. */
    IDEMPOTENT_BY_KEY,

    /** It may not. */
    NON_IDEMPOTENT
  }

  /** The servers that recognise a retry by its key. */
  public enum DeduplicationScope {
    /** All servers. */
    ALL,

    /** The servers of the zone that it was sent to first. */
    ZONE,

    /** The servers of its replica group. */
    GROUP
  }
}
