package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Logger;
import weldcross.config.GatewayConfig;
import weldcross.pgwire.MessageEncoder;
import weldcross.pgwire.ResponseAccount;
import weldcross.pgwire.ServerResponse;
import weldcross.pgwire.Statement;
import weldcross.routing.GroupId;
import weldcross.routing.NewRequest;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.Idempotency;
import weldcross.routing.RequestId;
import weldcross.routing.SessionId;

/**
 * Processes client messages from receipt to response. Several requests of one connection run
 * concurrently; their responses are written in the order of the requests.
 */
final class RequestPipeline {

  /** Maximum concurrent requests per connection; while more are waiting, reading is paused. */
  private static final int MAX_IN_FLIGHT = 16;

  /** Maximum waiting requests per connection; if one read brings more, these are rejected. */
  private static final int MAX_WAITING = 64;

  /** A commit time in whole milliseconds may be up to 1 ms too early; reads must see the commit. */
  private static final Duration COMMIT_TIME_RESOLUTION = Duration.ofMillis(1);

  /** Minimum time since a write, as zero means that there was none. */
  private static final Duration MIN_TIME_SINCE_WRITE = Duration.ofNanos(1);

  /** Reason of a refusal for lack of memory. */
  static final String OUT_OF_MEMORY = "too much is held for clients";

  private static final RepeatedResponse QUERY_REFUSALS =
      new RepeatedResponse(MessageEncoder.error("53300", OUT_OF_MEMORY, null));

  private static final RepeatedResponse ENCRYPTION_REFUSALS =
      new RepeatedResponse(MessageEncoder.encryptionRefused());

  private static final Logger LOG = Logger.getLogger(RequestPipeline.class.getName());

  private final Gateway gateway;
  private final Transport transport;
  private final GatewayConfig config;
  private final ClientConnections clients;
  private final AttemptTracker attempts;
  private final RequestValidator validator;
  private final UnixTime unixTime;

  RequestPipeline(
      Gateway gateway,
      Transport transport,
      GatewayConfig config,
      RequestValidator validator,
      UnixTime unixTime) {
    this.gateway = gateway;
    this.transport = transport;
    this.config = config;
    this.clients = gateway.clients();
    this.attempts = gateway.attempts();
    this.validator = validator;
    this.unixTime = unixTime;
  }

  // ---- Client messages

  /**
   * Handles SSLRequests or GSSENCRequests that followed one another; encryption is not supported.
   *
   * @param count the number of requests, positive
   */
  void encryptionRequested(long connectionId, int count) {
    ClientConnection client = clients.find(connectionId);
    if (client != null) {
      enqueueAlike(client, count, ENCRYPTION_REFUSALS);
    }
  }

  /** Handles a client's startup message. */
  void startupReceived(long connectionId) {
    enqueue(
        connectionId,
        request ->
            respond(
                request,
                MessageEncoder.sessionReady((int) connectionId, request.client.secretKey)));
  }

  /** Handles an empty query, which serves as a readiness check. */
  void emptyQueryReceived(long connectionId) {
    countStatement(connectionId);
    enqueue(
        connectionId,
        request ->
            respond(
                request,
                gateway.phase() == Gateway.Phase.SERVING
                    ? MessageEncoder.emptyQueryResponse()
                    : MessageEncoder.error("57P03", "not ready", null)));
  }

  /** Handles a statement that the decoder rejected as unsupported. */
  void statementRejected(long connectionId, String sqlState, String text) {
    countStatement(connectionId);
    logRejected(text);
    enqueue(connectionId, request -> respond(request, MessageEncoder.error(sqlState, text, null)));
  }

  /**
   * Handles a statement.
   *
   * @param receivedAt when its last byte was read; its timeout counts from then
   * @param memory what the statement occupies, given back when its request has ended
   */
  void statementReceived(
      long connectionId,
      Statement statement,
      Duration receivedAt,
      ClientMemory.RequestMemory memory) {
    countStatement(connectionId);
    enqueue(connectionId, request -> startStatement(request, statement, receivedAt, memory));
  }

  /**
   * Handles queries that followed one another and were not held, for lack of memory: each is
   * refused.
   *
   * @param count the number of queries, positive
   */
  void queriesDiscarded(long connectionId, int count) {
    ClientConnection client = clients.find(connectionId);
    if (client == null) {
      return;
    }
    gateway.warn("requests refused: reason=" + OUT_OF_MEMORY);
    client.statements += count;
    enqueueAlike(client, count, QUERY_REFUSALS);
  }

  private void enqueueAlike(ClientConnection client, int count, RepeatedResponse response) {
    client.messages += count;
    client.waiting.add(
        WaitingMessages.alike(
            count, answered -> request -> respond(request, response.of(answered))));
    startOrPause(client);
  }

  /**
   * Handles that reading has fallen behind what a client sends: its disconnect may lie behind the
   * rest, and nothing may be begun for a disconnected client. All its requests without an open
   * attempt are given up.
   */
  void inputFellBehind(long connectionId) {
    ClientConnection client = clients.find(connectionId);
    if (client == null) {
      return;
    }
    for (PipelinedRequest request : List.copyOf(client.inFlight)) {
      if (request.routed != null) {
        attempts.giveUpIfWithoutAttempt(request.routed);
      }
    }
  }

  private void countStatement(long connectionId) {
    ClientConnection client = clients.find(connectionId);
    if (client != null) {
      client.statements++;
    }
  }

  private void logRejected(String reason) {
    gateway.warn("request rejected: reason=" + reason);
  }

  // ---- Order of requests and responses

  private void enqueue(long connectionId, Consumer<PipelinedRequest> start) {
    ClientConnection client = clients.find(connectionId);
    if (client == null) {
      return;
    }
    client.messages++;
    client.waiting.add(
        WaitingMessages.single(
            client.waiting.size() < MAX_WAITING ? start : this::rejectAsTooMany));
    startOrPause(client);
  }

  private void startOrPause(ClientConnection client) {
    startNext(client);
    if (!client.waiting.isEmpty() && !client.readPaused && !client.closed) {
      client.readPaused = true;
      transport.setReading(client.id, false);
    }
  }

  private void rejectAsTooMany(PipelinedRequest request) {
    respond(request, MessageEncoder.error("54000", "too many statements at once", null));
  }

  /** Starts waiting requests up to the limit, writes responses and resumes reading if possible. */
  void startNext(ClientConnection client) {
    while (client.inFlight.size() < MAX_IN_FLIGHT && !client.closed && !client.waiting.isEmpty()) {
      PipelinedRequest request = new PipelinedRequest(client);
      client.inFlight.add(request);
      client.takeWaiting().accept(request);
    }
    writeResponses(client);
    if (client.readPaused && client.waiting.isEmpty() && !client.closed) {
      client.readPaused = false;
      transport.setReading(client.id, true);
      clients.readingResumed(client);
    }
  }

  /**
   * Returns whether the response to a request may be held until it can be written, that is, until
   * those to all earlier requests of its client are.
   */
  boolean mayHold(PipelinedRequest request, ServerResponse response) {
    ClientConnection client = request.client;
    boolean nextInOrder = client.inFlight.peek() == request && !client.writing;
    return nextInOrder || response.memory().admitWaiting();
  }

  /** Sets the response of a request; it is written after the responses of all earlier requests. */
  void respond(PipelinedRequest request, ByteBuffer... response) {
    respond(request, ResponseAccount.UNLIMITED, response);
  }

  /**
   * Sets the response of a request; see the other method of this name.
   *
   * @param memory accounts for the response until it is written
   */
  void respond(PipelinedRequest request, ResponseAccount memory, ByteBuffer... response) {
    if (request.client.closed) {
      memory.release();
      return;
    }
    request.setResponse(memory, response);
    writeResponses(request.client);
  }

  /**
   * Writes all responses that are next in order in a single write. Further ones wait until it
   * completes, so that responses to a slow reader do not accumulate in the transport.
   */
  private void writeResponses(ClientConnection client) {
    PipelinedRequest first = client.inFlight.peek();
    if (client.writing || client.closed || first == null || !first.hasResponse()) {
      return;
    }
    List<ByteBuffer> parts = new ArrayList<>();
    for (PipelinedRequest request = first;
        request != null && request.hasResponse();
        request = client.inFlight.peek()) {
      parts.addAll(List.of(request.takeResponse()));
      client.inFlight.poll();
    }
    client.writing = true;
    if (transport.write(client.id, parts.toArray(new ByteBuffer[0]))) {
      continueAfterWrite(client);
    }
  }

  /**
   * Continues with a connection whose write is complete. If messages wait, that is left to the next
   * iteration of the event loop, as a client that has sent very many would delay all others.
   */
  private void continueAfterWrite(ClientConnection client) {
    if (client.waiting.isEmpty()) {
      gateway.defer(() -> responsesWritten(client.id));
    } else {
      gateway.schedule(gateway.now(), () -> responsesWritten(client.id));
    }
  }

  /** Handles the completion of a connection's current write. */
  void responsesWritten(long connectionId) {
    ClientConnection client = clients.find(connectionId);
    if (client == null || !client.writing) {
      return;
    }
    client.writing = false;
    client.releaseUnwritten();
    client.idleSince = gateway.now();
    startNext(client);
    GracefulShutdown shutdown = gateway.shutdown();
    if (shutdown.isClosing()) {
      shutdown.extendDrain();
      clients.closeIfIdle(client);
      shutdown.stopIfDone();
    }
  }

  // ---- Start of statements

  private void startStatement(
      PipelinedRequest request,
      Statement statement,
      Duration receivedAt,
      ClientMemory.RequestMemory memory) {
    if (gateway.shutdown().isClosing(receivedAt)) {
      // A request started after the grace period might be unanswered when the process is killed.
      memory.release();
      respond(request, MessageEncoder.error("57P03", "stopping", null));
      return;
    }
    if (transport.mayBeDisconnected(request.client.id)) {
      memory.release();
      respond(request, AttemptTracker.rejectedResponse());
      return;
    }
    int requestClass = config.requestClassNames().indexOf(statement.requestClass());
    RequestId id = new RequestId(statement.id());
    GroupId group = new GroupId(statement.group());
    RequestValidator.Result result = validator.check(statement, requestClass, id, group);
    if (result != RequestValidator.Result.VALID) {
      memory.release();
      if (result != RequestValidator.Result.NOT_READY) {
        logRejected(result.text);
      }
      respond(request, MessageEncoder.error(result.sqlState, result.text, null));
      return;
    }
    Duration timeLeft = timeLeft(statement, receivedAt);
    Duration deadline = gateway.now().plus(timeLeft);
    boolean executedOnceOnly =
        config.routing().requestClasses().get(requestClass).idempotency()
            == Idempotency.NON_IDEMPOTENT;
    RoutedRequest routed =
        new RoutedRequest(id, request, statement, memory, deadline, executedOnceOnly);
    route(routed, requestClass, group, timeLeft);
  }

  /** Returns the time until a statement's deadline; zero if it has passed. */
  private Duration timeLeft(Statement statement, Duration receivedAt) {
    Duration timeLeft = receivedAt.plusMillis(statement.timeoutMillis()).minus(gateway.now());
    return timeLeft.isNegative() ? Duration.ZERO : timeLeft;
  }

  private void route(RoutedRequest request, int requestClass, GroupId group, Duration timeLeft) {
    Statement statement = request.statement();
    attempts.add(request);
    LOG.fine(
        () ->
            "request accepted: request="
                + request.id.name()
                + " class="
                + statement.requestClass()
                + " group="
                + group.number()
                + " timeLeftMillis="
                + timeLeft.toMillis());
    Consistency consistency = config.routing().requestClasses().get(requestClass).consistency();
    boolean inSession = consistency == Consistency.WRITE || consistency == Consistency.SESSION;
    gateway
        .router()
        .requestArrived(
            gateway.now(),
            new NewRequest(
                request.id,
                requestClass,
                group,
                inSession ? new SessionId(statement.key()) : null,
                timeSinceWrite(statement),
                timeLeft,
                statement.isRetry()));
  }

  /** Returns the time since the last write that a read must see; zero if there was none. */
  private Duration timeSinceWrite(Statement statement) {
    long lastWriteMillis = statement.lastWriteMillis();
    if (lastWriteMillis == 0) {
      return Duration.ZERO;
    }
    Duration sinceWrite =
        gateway.now().minus(unixTime.sinceStart(lastWriteMillis)).minus(COMMIT_TIME_RESOLUTION);
    return sinceWrite.compareTo(MIN_TIME_SINCE_WRITE) < 0 ? MIN_TIME_SINCE_WRITE : sinceWrite;
  }
}
