package weldcross.routing;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
  /** The server answered with success. */
  OK(false),

  /** The server answered with an error, or on behalf of a process that has died. */
  ERROR(false),

  /** The server turned it away because it has too much to do. */
  OVERLOADED(true),

  /** No answer came in time. */
  TIMED_OUT(false),

  /** No connection came up: nobody listens there, or the connect timed out. */
  UNREACHABLE(true),

  /** Its connection ended before the answer. */
  CONNECTION_LOST(false),

  /** As {@link #CONNECTION_LOST}, on a reused connection, which says nothing of the server. */
  IDLE_CONNECTION_LOST(false),

  /** A live server ended the connection before the attempt was sent. */
  CLOSED_BEFORE_SEND(true),

  /** This gateway cancelled it. */
  CANCELLED(false),

  /** It was decided, but no longer eligible when its connection was up. */
  NOT_SENT(true),

  /** The server does not serve such requests, as a replica does not serve writes. */
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
