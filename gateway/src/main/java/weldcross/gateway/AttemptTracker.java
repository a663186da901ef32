package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Logger;
import weldcross.pgwire.MessageEncoder;
import weldcross.pgwire.ServerResponse;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.AttemptResult;
import weldcross.routing.RequestId;
import weldcross.routing.ServerId;

/** The routed requests and their attempts, sent, cancelled and answered as the router decides. */
final class AttemptTracker {

  /** A commit time in whole milliseconds may be up to one too early. */
  private static final Duration COMMIT_TIME_RESOLUTION = Duration.ofMillis(1);

  private static final ByteBuffer FAILED =
      MessageEncoder.error("58000", "failed, and may have run", null);

  private static final Logger LOG = Logger.getLogger(AttemptTracker.class.getName());

  private final Gateway gateway;
  private final Transport transport;
  private final ServerReports reports;

  /** All that are not answered or have open attempts. */
  private final Map<RequestId, RoutedRequest> requests = new LinkedHashMap<>();

  private long accepted;
  private long served;
  private long rejected;
  private long failed;
  private long abandoned;

  AttemptTracker(Gateway gateway, Transport transport, ServerReports reports) {
    this.gateway = gateway;
    this.transport = transport;
    this.reports = reports;
  }

  /** Returns the response to a request that failed and may have run. */
  static ByteBuffer failedResponse() {
    return FAILED.duplicate();
  }

  /** Returns a request that is unanswered or has open attempts; null if there is none. */
  RoutedRequest find(RequestId id) {
    return requests.get(id);
  }

  /** Adds a request that is about to be routed. */
  void add(RoutedRequest request) {
    accepted++;
    requests.put(request.id, request);
  }

  int size() {
    return requests.size();
  }

  /** Whether no request waits for its response. */
  boolean allAnswered() {
    return requests.values().stream().allMatch(request -> request.answered);
  }

  /** Describes how the requests ended so far, for the log. */
  String describeTotals() {
    return accepted
        + " accepted, "
        + served
        + " ok, "
        + rejected
        + " rejected, "
        + failed
        + " failed, "
        + abandoned
        + " abandoned by their clients";
  }

  // ---- Decisions of the router

  /**
   * Sends an attempt, which ends at {@code until} or at its client's deadline if that is sooner.
   */
  void send(RequestId id, ServerId server, Duration until) {
    RoutedRequest request = requests.get(id);
    Duration deadline = until.compareTo(request.deadline) < 0 ? until : request.deadline;
    Attempt attempt = new Attempt(request, server, deadline);
    LOG.fine(
        () ->
            "attempt sent: request="
                + id.name()
                + " attempt="
                + attempt.number
                + " endpoint="
                + server.name());
    if (deadline.compareTo(gateway.now()) <= 0) {
      gateway.serverConnections().abort(attempt, AttemptOutcome.NOT_SENT);
      return;
    }
    gateway.serverConnections().send(server, attempt);
    gateway.schedule(
        deadline,
        () -> {
          if (!attempt.done) {
            gateway.serverConnections().abort(attempt, AttemptOutcome.TIMED_OUT);
          }
        });
  }

  /** Stops waiting for an attempt, if it has not ended. */
  void cancel(RequestId id, int number) {
    RoutedRequest request = requests.get(id);
    if (request != null && !request.attempts.get(number).done) {
      gateway.serverConnections().abort(request.attempts.get(number), AttemptOutcome.CANCELLED);
    }
  }

  /**
   * Answers that nothing ran.
   *
   * @param retryAfter after which the client may retry; zero if no time is given
   */
  void reject(RequestId id, Duration retryAfter) {
    long millis = retryAfter.toMillis();
    String hint = millis > 0 ? Long.toString(millis) : null;
    if (giveUp(id, MessageEncoder.error("53300", "not now", hint))) {
      rejected++;
    }
  }

  /** Answers that the request failed and may have run. */
  void fail(RequestId id) {
    if (giveUp(id, failedResponse())) {
      failed++;
    }
  }

  /** Returns false if the request has had its response. */
  private boolean giveUp(RequestId id, ByteBuffer response) {
    RoutedRequest request = requests.get(id);
    if (request == null || request.answered) {
      return false;
    }
    LOG.fine(
        () ->
            "request given up: request="
                + id.name()
                + " timeLeftMillis="
                + request.deadline.minus(gateway.now()).toMillis()
                + " attempts="
                + request.attempts.size());
    answer(request, response);
    forgetIfDone(request);
    return true;
  }

  // ---- Ends of requests

  /** Responds to a request and, once the router is done, goes on with its connection. */
  void answer(RoutedRequest request, ByteBuffer... response) {
    request.answered = true;
    gateway.pipeline().respond(request.pipelined, response);
    // The router is in the middle of a decision.
    gateway.defer(() -> gateway.pipeline().startNext(request.pipelined.client));
  }

  /** The client of an unanswered request has left: nothing more is sent for it. */
  void abandon(RoutedRequest request) {
    abandoned++;
    request.answered = true;
    gateway.router().clientDisconnected(gateway.now(), request.id);
  }

  /** Forgets a request that is answered and has no open attempts. */
  void forgetIfDone(RoutedRequest request) {
    if (request.answered && request.openAttempts == 0) {
      requests.remove(request.id);
    }
  }

  /** One attempt to have a request served by one server. */
  final class Attempt extends ServerRequest {
    private final RoutedRequest request;
    private final int number;
    private final ServerId server;
    private final Duration sentAt = gateway.now();
    private final Duration deadline;

    private Attempt(RoutedRequest request, ServerId server, Duration deadline) {
      this.request = request;
      this.number = request.attempts.size();
      this.server = server;
      this.deadline = deadline;
      request.attempts.add(this);
      request.openAttempts++;
    }

    @Override
    ByteBuffer[] message() {
      long timeLeft = deadline.minus(transport.now()).toMillis();
      return request.statement.withTimeout(Math.max(1, timeLeft));
    }

    /** By the clock: an event may take long, and a staleness bound counts from the send. */
    @Override
    boolean maySend() {
      return gateway.router().isStillEligible(transport.now(), request.id, number);
    }

    @Override
    boolean isAnsweredPromptly() {
      return false;
    }

    @Override
    String commandTag() {
      return request.statement.commandTag();
    }

    @Override
    void completed(AttemptOutcome outcome, ServerResponse response) {
      request.openAttempts--;
      Duration took = gateway.now().minus(sentAt);
      logEnd(outcome, took);
      if (outcome == AttemptOutcome.OK && !request.answered) {
        served++;
        answer(request, response.toClientMessages());
      }
      Duration position = positionOf(response);
      Boolean primary = response == null ? null : response.primary();
      reports.noteRole(server, primary);
      gateway
          .router()
          .attemptEnded(
              gateway.now(),
              new AttemptResult(
                  request.id,
                  number,
                  outcome,
                  took,
                  connectedSince,
                  primary,
                  position,
                  request.answered));
      reports.received(server, response == null ? null : response.loadReport());
      forgetIfDone(request);
    }

    private void logEnd(AttemptOutcome outcome, Duration took) {
      LOG.fine(
          () ->
              "attempt ended: request="
                  + request.id.name()
                  + " attempt="
                  + number
                  + " outcome="
                  + outcome
                  + " tookMillis="
                  + took.toMillis()
                  + " answeredBefore="
                  + request.answered);
    }

    /** Returns the position that a response tells; null if it tells none that counts. */
    private Duration positionOf(ServerResponse response) {
      if (response == null || response.positionMillis() == 0) {
        return null;
      }
      Duration position = Duration.ofMillis(response.positionMillis());
      return reports.position(
          request.statement.isWrite() ? position.plus(COMMIT_TIME_RESOLUTION) : position);
    }
  }
}
