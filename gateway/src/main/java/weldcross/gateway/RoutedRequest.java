package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import weldcross.pgwire.Statement;
import weldcross.routing.RequestId;

/** A statement that the router decides on: unanswered, or with attempts that have not ended. */
final class RoutedRequest {

  final RequestId id;
  final PipelinedRequest pipelined;
  final Statement statement;

  /** When its client gives up, as time since the gateway's start. */
  final Duration deadline;

  /** All attempts, by their number. */
  final List<AttemptTracker.Attempt> attempts = new ArrayList<>(1);

  /** Number of attempts that have not ended. */
  int openAttempts;

  /** Whether it has its response, or its client has left. */
  boolean answered;

  RoutedRequest(RequestId id, PipelinedRequest pipelined, Statement statement, Duration deadline) {
    this.id = id;
    this.pipelined = pipelined;
    pipelined.routed = this;
    this.statement = statement;
    this.deadline = deadline;
  }
}
