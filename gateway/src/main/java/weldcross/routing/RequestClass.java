package weldcross.routing;

import java.time.Duration;

/** What differs by method, as far as the router reads it. */
public record RequestClass(
    Consistency consistency,
    Duration stalenessBound,
    Effect effect,
    Scope scope,
    Duration deduplicationWindow,
    Duration latencyObjective,
    double priorityWeight,
    double lateWeight) {

  /**
   * How fresh the data must be: the primary's alone, all commits, the session's, within a bound,
   * any.
   */
  public enum Consistency {
    WRITE,
    FRESH,
    SESSION,
    BOUNDED,
    ANY
  }

  /** May run again; may run again where a repeat is known for one; may never run twice. */
  public enum Effect {
    IDEMPOTENT,
    IDEMPOTENT_BY_KEY,
    NON_IDEMPOTENT
  }

  /** The servers that know a repeat of a tokened RPC. */
  public enum Scope {
    ALL,
    ZONE,
    GROUP
  }
}
