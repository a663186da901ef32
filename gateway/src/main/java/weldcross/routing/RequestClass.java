package weldcross.routing;

import java.time.Duration;

/**
 * A class of requests with the same requirements.
 *
 * @param consistency the consistency that its requests require
 * @param stalenessBound how old the data of a {@link Consistency#BOUNDED} read may be
 * @param idempotency whether its requests may be executed more than once
 * @param deduplicationScope the servers that share the idempotency keys of a request
 * @param deduplicationWindow how long after its first attempt a retry of an {@link
 *     Idempotency#IDEMPOTENT_BY_KEY} request is deduplicated
 * @param latencyObjective the time from arrival within which an answer has its full value
 * @param priorityWeight the value of an answer within the latency objective; positive
 * @param lateWeight the fraction of that value that a later answer retains, in [0, 1]
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

  /** The consistency that a request requires. */
  public enum Consistency {
    /** A write, which only the primary accepts. */
    WRITE,

    /** A read of everything that was committed before the request arrived. */
    FRESH,

    /** A read of everything that the session has written. */
    SESSION,

    /** A read of data that is no older than the staleness bound when the request is sent. */
    BOUNDED,

    /** A read without consistency requirements. */
    ANY
  }

  /** Whether a request may be executed more than once. */
  public enum Idempotency {
    /** The request may be executed more than once. */
    IDEMPOTENT,

    /** Retries are deduplicated by the idempotency key. */
    IDEMPOTENT_BY_KEY,

    /** The request must be executed at most once. */
    NON_IDEMPOTENT
  }

  /** The servers that deduplicate a retry by its idempotency key. */
  public enum DeduplicationScope {
    /** All servers. */
    ALL,

    /** The servers of the zone that the first attempt was sent to. */
    ZONE,

    /** The servers of the replica group. */
    GROUP
  }
}
