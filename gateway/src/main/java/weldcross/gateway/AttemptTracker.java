package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Logger;
import weldcross.pgwire.MessageEncoder;
import weldcross.pgwire.ResponseAccount;
import weldcross.pgwire.ServerResponse;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.AttemptResult;
import weldcross.routing.ExecutedWrites;
import weldcross.routing.RequestId;
import weldcross.routing.ServerId;
import weldcross.routing.Timer;

/**
 * Tracks the requests being routed and their attempts. Carries out the decisions of the router:
 * sends and cancels attempts, and responds to clients.
 */
final class AttemptTracker {

  /** Commit times are truncated to whole milliseconds and may be early by up to one. */
  private static final Duration COMMIT_TIME_RESOLUTION = Duration.ofMillis(1);

  private static final String SYSTEM_ERROR = "58000";
  private static final String TOO_MANY_CONNECTIONS = "53300";

  private static final ByteBuffer FAILED_RESPONSE =
      MessageEncoder.error(SYSTEM_ERROR, "failed, and may have run", null);

  private static final Logger LOG = Logger.getLogger(AttemptTracker.class.getName());

  private final Gateway gateway;
  private final Transport transport;
  private final ServerReports reports;

  /** Requests that are unanswered or have open attempts, in order of arrival. */
  private final Map<RequestId, RoutedRequest> requests = new LinkedHashMap<>();

  private final ExecutedWrites executedWrites = new ExecutedWrites();

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

  /** Returns the response to a request that failed and that a server may have executed. */
  static ByteBuffer failedResponse() {
    return FAILED_RESPONSE.duplicate();
  }

  /** Returns a tracked request; null if it is unknown, or answered without open attempts. */
  RoutedRequest find(RequestId id) {
    return requests.get(id);
  }

  /** Returns whether a request that must not run twice was sent before, and may have run. */
  boolean mayHaveExecuted(RequestId id) {
    return executedWrites.mayContain(id);
  }

  /** Starts to track a request that is about to be routed. */
  void add(RoutedRequest request) {
    accepted++;
    requests.put(request.id, request);
  }

  int size() {
    return requests.size();
  }

  /** Returns whether every tracked request is answered. */
  boolean allAnswered() {
    return requests.values().stream().allMatch(request -> request.answered);
  }

  /** Describes how many requests have ended with each result so far, for the log. */
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

  // ---- Router decisions

  /**
   * Sends an attempt, which times out at {@code limit} or at its client's deadline, whichever is
   * earlier.
   */
  void send(RequestId id, ServerId server, Duration limit) {
    RoutedRequest request = requests.get(id);
    Duration deadline = limit.compareTo(request.deadline) < 0 ? limit : request.deadline;
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
    attempt.deadlineTimer =
        gateway.schedule(
            deadline, () -> gateway.serverConnections().abort(attempt, AttemptOutcome.TIMED_OUT));
  }

  /** Cancels an attempt; does nothing if it has ended. */
  void cancel(RequestId id, int number) {
    RoutedRequest request = requests.get(id);
    if (request != null && !request.attempts.get(number).done) {
      gateway.serverConnections().abort(request.attempts.get(number), AttemptOutcome.CANCELLED);
    }
  }

  /**
   * Responds that no server has executed the request.
   *
   * @param retryAfter time after which the client may retry; zero to send no such time
   */
  void reject(RequestId id, Duration retryAfter) {
    long millis = retryAfter.toMillis();
    String detail = millis > 0 ? Long.toString(millis) : null;
    if (respondWithError(id, MessageEncoder.error(TOO_MANY_CONNECTIONS, "not now", detail))) {
      rejected++;
    }
  }

  /** Responds that the request failed and that a server may have executed it. */
  void fail(RequestId id) {
    if (respondWithError(id, failedResponse())) {
      failed++;
    }
  }

  /** Returns false, without a response, if the request is already answered. */
  private boolean respondWithError(RequestId id, ByteBuffer response) {
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
    removeIfDone(request);
    return true;
  }

  /** Gives a request up that is not answered and has no open attempt; does nothing otherwise. */
  void giveUpIfWithoutAttempt(RoutedRequest request) {
    if (isWithoutAttempt(request)) {
      gateway.router().clientDisconnected(gateway.now(), request.id);
      answerGivenUp(request);
      removeIfDone(request);
    }
  }

  private static boolean isWithoutAttempt(RoutedRequest request) {
    return !request.answered && request.openAttempts == 0;
  }

  private void answerGivenUp(RoutedRequest request) {
    if (request.mayHaveExecuted) {
      failed++;
      answer(request, failedResponse());
    } else {
      rejected++;
      answer(request, rejectedResponse());
    }
  }

  /** Returns the response to a request that was not begun, without a time for a retry. */
  static ByteBuffer rejectedResponse() {
    return MessageEncoder.error(TOO_MANY_CONNECTIONS, "not now", null);
  }

  // ---- Completion of requests

  /** Responds to a request, then starts the next one of its connection. */
  void answer(RoutedRequest request, ByteBuffer... response) {
    answer(request, ResponseAccount.UNLIMITED, response);
  }

  private void answer(RoutedRequest request, ResponseAccount memory, ByteBuffer... response) {
    request.answered = true;
    gateway.pipeline().respond(request.pipelined, memory, response);
    // Deferred because the router may be in the middle of a decision.
    gateway.defer(() -> gateway.pipeline().startNext(request.pipelined.client));
  }

  /** Abandons an unanswered request whose client disconnected; no further attempt is sent. */
  void abandon(RoutedRequest request) {
    abandoned++;
    request.answered = true;
    gateway.router().clientDisconnected(gateway.now(), request.id);
  }

  /** Stops tracking a request if it is answered and has no open attempts. */
  void removeIfDone(RoutedRequest request) {
    if (request.answered && request.openAttempts == 0) {
      requests.remove(request.id);
      request.release();
      if (request.executedOnceOnly && request.mayHaveExecuted) {
        executedWrites.record(request.id);
      }
    }
  }

  /** One attempt to execute a request on one server. */
  final class Attempt extends ServerRequest {
    private final RoutedRequest request;
    private final int number;
    private final ServerId server;
    private final Duration sentAt = gateway.now();
    private final Duration deadline;
    private Timer deadlineTimer = Timer.NONE;

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
      long timeLeftMillis = deadline.minus(transport.now()).toMillis();
      return request.statement().withTimeout(Math.max(1, timeLeftMillis));
    }

    /**
     * Checks eligibility at the current time, not at the start of the event: an event may take
     * long, and a staleness bound is measured at the time of sending.
     */
    @Override
    boolean maySend() {
      return !clientMayBeDisconnected()
          && gateway.router().isStillEligible(transport.now(), request.id, number);
    }

    private boolean clientMayBeDisconnected() {
      return transport.mayBeDisconnected(request.pipelined.client.id);
    }

    @Override
    boolean isAnsweredPromptly() {
      return false;
    }

    @Override
    String commandTag() {
      return request.statement().commandTag();
    }

    @Override
    ResponseMemory.ClientAccount responseMemory() {
      return request.pipelined.client.responseMemory;
    }

    @Override
    void completed(AttemptOutcome outcome, ServerResponse response) {
      deadlineTimer.cancel();
      request.openAttempts--;
      request.mayHaveExecuted |= !outcome.provesNotExecuted();
      Duration took = gateway.now().minus(sentAt);
      logEnd(outcome, took);
      if (outcome == AttemptOutcome.OK && !request.answered) {
        answerWith(response);
      }
      if (outcome == AttemptOutcome.NOT_SENT
          && clientMayBeDisconnected()
          && isWithoutAttempt(request)) {
        answerGivenUp(request);
      }
      Duration position = positionOf(response);
      Boolean primary = response == null ? null : response.primary();
      reports.recordRole(server, primary);
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
      reports.loadReportReceived(server, response == null ? null : response.loadReport());
      removeIfDone(request);
    }

    private void answerWith(ServerResponse response) {
      if (response.isRowDiscarded() || !gateway.pipeline().mayHold(request.pipelined, response)) {
        answerWithoutRow();
      } else {
        served++;
        answer(request, response.takeMemory(), response.toClientMessages());
      }
    }

    /** Refuses a request whose row could not be held: a read had no effect, a write had its. */
    private void answerWithoutRow() {
      gateway.warn("responses refused: reason=" + RequestPipeline.OUT_OF_MEMORY);
      if (request.statement().isWrite()) {
        failed++;
        answer(request, failedResponse());
      } else {
        rejected++;
        answer(
            request,
            MessageEncoder.error(TOO_MANY_CONNECTIONS, RequestPipeline.OUT_OF_MEMORY, null));
      }
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

    /** Returns the replication position in a response; null if it has none or an invalid one. */
    private Duration positionOf(ServerResponse response) {
      if (response == null || response.positionMillis() == 0) {
        return null;
      }
      Duration position = Duration.ofMillis(response.positionMillis());
      return reports.positionSinceStart(
          request.statement().isWrite() ? position.plus(COMMIT_TIME_RESOLUTION) : position);
    }
  }
}
