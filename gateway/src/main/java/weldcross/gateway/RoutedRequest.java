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
  final Statement statement;

  /** When its client stops waiting, as time since the gateway's start. */
  final Duration deadline;

  /** All attempts, indexed by attempt number. */
  final List<AttemptTracker.Attempt> attempts = new ArrayList<>(1);

  /** Number of attempts that have not ended. */
  int openAttempts;

  /** Whether the response is available or the client has disconnected. */
  boolean answered;

  RoutedRequest(RequestId id, PipelinedRequest pipelined, Statement statement, Duration deadline) {
    this.id = id;
    this.pipelined = pipelined;
    pipelined.routed = this;
    this.statement = statement;
    this.deadline = deadline;
  }
}
