package weldcross.routing;

/** How a call-out or a probe ended. */
public enum AttemptOutcome {
  OK(false),
  ERROR(false),
  NO_ROOM(true),
  TIMED_OUT(false),
  /** No process was found there, or nothing came back from where it should be. */
  NO_ROUTE(true),
  /** Its connection ended under it. */
  CUT(false),
  /** The same on a connection kept from before, which says nothing of the server. */
  KEPT_CUT(false),
  /** Its connection ended before it was sent, at the word of somebody who lives. */
  NOT_TAKEN(true),
  CANCELLED(false),
  NOT_SENT(true),
  MISS(true);

  /** Whether it proves that nothing ran. */
  public final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }
}
