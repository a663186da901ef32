package weldcross.routing;

/** How a call-out or a probe ended. */
public enum AttemptOutcome {
  OK(false),
  ERROR(false),
  OVERLOADED(true),
  TIMED_OUT(false),
  /** No process was found there, or nothing came back from where it should be. */
  UNREACHABLE(true),
  /** Its connection ended under it. */
  CONNECTION_LOST(false),
  /** The same on a connection kept from before, which says nothing of the server. */
  IDLE_CONNECTION_LOST(false),
  /** Its connection ended before it was sent, at the word of somebody who lives. */
  CLOSED_BEFORE_SEND(true),
  CANCELLED(false),
  NOT_SENT(true),
  INELIGIBLE(true);

  private final boolean provesNotExecuted;

  AttemptOutcome(boolean provesNotExecuted) {
    this.provesNotExecuted = provesNotExecuted;
  }

  /** Returns whether this outcome proves that the server did not execute the request. */
  public boolean provesNotExecuted() {
    return provesNotExecuted;
  }
}
