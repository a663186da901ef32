package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import weldcross.pgwire.Statement;
import weldcross.routing.RequestId;

/** A statement that is routed to servers: it is unanswered or has attempts that have not ended. */
final class RoutedRequest {

  final RequestId id;
  final PipelinedRequest pipelined;

  /** Null once released. */
  private Statement statement;

  private final ClientMemory.RequestMemory memory;

  /** When its client stops waiting, as time since the gateway's start. */
  final Duration deadline;

  /** All attempts, indexed by attempt number. */
  final List<AttemptTracker.Attempt> attempts = new ArrayList<>(1);

  /** Number of attempts that have not ended. */
  int openAttempts;

  /** Whether the request must not be executed twice. */
  final boolean executedOnceOnly;

  /** Whether an attempt that has ended may have been executed. */
  boolean mayHaveExecuted;

  /** Whether the response is available or the client has disconnected. */
  boolean answered;

  RoutedRequest(
      RequestId id,
      PipelinedRequest pipelined,
      Statement statement,
      ClientMemory.RequestMemory memory,
      Duration deadline,
      boolean executedOnceOnly) {
    this.id = id;
    this.pipelined = pipelined;
    pipelined.routed = this;
    this.statement = statement;
    this.memory = memory;
    this.deadline = deadline;
    this.executedOnceOnly = executedOnceOnly;
    memory.start();
  }

  /** Returns the statement; must not be called after {@link #release}. */
  Statement statement() {
    return statement;
  }

  /**
   * Drops the statement, with its message, and gives its memory back. Called when the request is
   * answered and no attempt is open; timers and responses that wait may refer to this object for
   * longer.
   */
  void release() {
    statement = null;
    memory.release();
  }
}
