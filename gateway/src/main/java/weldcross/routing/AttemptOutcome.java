package weldcross.routing;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
  /** The server answered successfully. */
  OK(false),

  /**
   * The server answered with an error, or reported that the process handling the request had died.
   */
  ERROR(false),

  /** The server rejected the request because it is overloaded. */
  OVERLOADED(true),

  /** No answer arrived in time. */
  TIMED_OUT(false),

  /** No connection was established: it was refused or timed out. */
  UNREACHABLE(true),

  /** The connection was closed before the answer arrived. */
  CONNECTION_LOST(false),

  /**
   * Like {@link #CONNECTION_LOST}, but on a reused idle connection, which is no evidence of a
   * server failure.
   */
  IDLE_CONNECTION_LOST(false),

  /** A live server closed the connection before the attempt was sent. */
  CLOSED_BEFORE_SEND(true),

  /** This gateway cancelled the attempt. */
  CANCELLED(false),

  /**
   * The attempt was scheduled, but its endpoint was no longer eligible once the connection was
   * established.
   */
  NOT_SENT(true),

  /** The server cannot serve this kind of request; for example, a replica does not serve writes. */
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
