package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Logger;
import weldcross.config.GatewayConfig;
import weldcross.pgwire.MessageEncoder;
import weldcross.pgwire.Statement;
import weldcross.routing.GroupId;
import weldcross.routing.NewRequest;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestId;
import weldcross.routing.SessionId;

/**
 * What clients send, from its receipt to its response: several requests of one connection run
 * concurrently, and their responses go out in the order of the requests.
 */
final class RequestPipeline {

  /** Requests of one connection that run at a time; with more waiting it is not read on. */
  private static final int MAX_IN_FLIGHT = 16;

  /** Of the requests that one read brings beyond these, more are rejected. */
  private static final int MAX_WAITING = 64;

  /** A commit time in whole milliseconds may be up to one too early; reads must see the commit. */
  private static final Duration COMMIT_TIME_RESOLUTION = Duration.ofMillis(1);

  /** The least time since a write: zero would say that there was none. */
  private static final Duration MIN_TIME_SINCE_WRITE = Duration.ofNanos(1);

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

  // ---- What clients send

  /** A client asked for an encrypted connection, which there is none of. */
  void encryptionRequested(long number) {
    enqueue(number, request -> respond(request, MessageEncoder.encryptionRefused()));
  }

  /** A client sent its startup message. */
  void startupReceived(long number) {
    enqueue(
        number,
        request ->
            respond(
                request, MessageEncoder.sessionReady((int) number, request.client.cancelSecret)));
  }

  /** A client sent an empty query, which asks whether requests can be routed. */
  void emptyQueryReceived(long number) {
    countStatement(number);
    enqueue(
        number,
        request ->
            respond(
                request,
                gateway.phase() == Gateway.Phase.SERVING
                    ? MessageEncoder.emptyQueryResponse()
                    : MessageEncoder.error("57P03", "not ready", null)));
  }

  /** A client sent a statement that is not served here. */
  void statementRejected(long number, String sqlState, String text) {
    countStatement(number);
    logRejected(text);
    enqueue(number, request -> respond(request, MessageEncoder.error(sqlState, text, null)));
  }

  /**
   * A client sent a statement.
   *
   * @param arrived when its last byte was read, from which its time counts
   */
  void statementReceived(long number, Statement statement, Duration arrived) {
    countStatement(number);
    enqueue(number, request -> begin(request, statement, arrived));
  }

  private void countStatement(long number) {
    ClientConnection client = clients.find(number);
    if (client != null) {
      client.statements++;
    }
  }

  private void logRejected(String reason) {
    gateway.warn("request rejected: reason=" + reason);
  }

  // ---- Order of requests and responses

  private void enqueue(long number, Consumer<PipelinedRequest> start) {
    ClientConnection client = clients.find(number);
    if (client == null) {
      return;
    }
    client.messages++;
    client.waiting.add(client.waiting.size() < MAX_WAITING ? start : this::rejectAsTooMany);
    startNext(client);
    if (!client.waiting.isEmpty() && !client.readPaused && !client.closed) {
      client.readPaused = true;
      transport.setReading(number, false);
    }
  }

  private void rejectAsTooMany(PipelinedRequest request) {
    respond(request, MessageEncoder.error("54000", "too many statements at once", null));
  }

  /** Starts the requests that have room, writes what can be written, and reads on if paused. */
  void startNext(ClientConnection client) {
    while (client.inFlight.size() < MAX_IN_FLIGHT && !client.closed && !client.waiting.isEmpty()) {
      PipelinedRequest request = new PipelinedRequest(client);
      client.inFlight.add(request);
      client.waiting.poll().accept(request);
    }
    writeResponses(client);
    if (client.readPaused && client.waiting.isEmpty() && !client.closed) {
      client.readPaused = false;
      transport.setReading(client.number, true);
      clients.readingResumed(client);
    }
  }

  /** Sets the response of a request; it is written when all before it are. */
  void respond(PipelinedRequest request, ByteBuffer... response) {
    request.response = response;
    writeResponses(request.client);
  }

  /**
   * Writes all responses that are next in order as one; more only when these are written, so that
   * they do not pile up for a slow reader.
   */
  private void writeResponses(ClientConnection client) {
    PipelinedRequest first = client.inFlight.peek();
    if (client.writing || client.closed || first == null || first.response == null) {
      return;
    }
    List<ByteBuffer> parts = new ArrayList<>();
    for (PipelinedRequest next = first;
        next != null && next.response != null;
        next = client.inFlight.peek()) {
      parts.addAll(List.of(next.response));
      client.inFlight.poll();
    }
    client.writing = true;
    if (transport.write(client.number, parts.toArray(new ByteBuffer[0]))) {
      gateway.soon(() -> responsesWritten(client.number));
    }
  }

  /** The responses last given to the transport for this connection are written. */
  void responsesWritten(long number) {
    ClientConnection client = clients.find(number);
    if (client == null || !client.writing) {
      return;
    }
    client.writing = false;
    client.idleSince = gateway.now();
    startNext(client);
    GracefulShutdown shutdown = gateway.shutdown();
    if (shutdown.isClosing()) {
      shutdown.extendDrain();
      clients.closeIfIdle(client);
      shutdown.stopIfDone();
    }
  }

  // ---- Start of a statement

  private void begin(PipelinedRequest request, Statement statement, Duration arrived) {
    if (gateway.shutdown().isClosing(arrived)) {
      // Its connection should have been closed; a request begun now might still be open when the
      // process is killed.
      respond(request, MessageEncoder.error("57P03", "stopping", null));
      return;
    }
    int requestClass = config.requestClassNames().indexOf(statement.requestClass());
    RequestId id = new RequestId(statement.id());
    GroupId group = new GroupId(statement.group());
    RequestValidator.Result result = validator.check(statement, requestClass, id, group);
    if (result != RequestValidator.Result.VALID) {
      if (result != RequestValidator.Result.NOT_READY) {
        logRejected(result.text);
      }
      respond(request, MessageEncoder.error(result.sqlState, result.text, null));
      return;
    }
    Duration timeLeft = arrived.plusMillis(statement.timeoutMillis()).minus(gateway.now());
    Duration patience = timeLeft.isNegative() ? Duration.ZERO : timeLeft;
    RoutedRequest routed = new RoutedRequest(id, request, statement, gateway.now().plus(patience));
    route(routed, requestClass, group, patience);
  }

  private void route(RoutedRequest request, int requestClass, GroupId group, Duration patience) {
    Statement statement = request.statement;
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
                + patience.toMillis());
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
                patience,
                statement.isRetry()));
  }

  /** Returns the time since the write that a read has to see; zero if it names none. */
  private Duration timeSinceWrite(Statement statement) {
    long after = statement.lastWriteMillis();
    if (after == 0) {
      return Duration.ZERO;
    }
    Duration sinceWrite =
        gateway.now().minus(unixTime.sinceStart(after)).minus(COMMIT_TIME_RESOLUTION);
    return sinceWrite.compareTo(MIN_TIME_SINCE_WRITE) < 0 ? MIN_TIME_SINCE_WRITE : sinceWrite;
  }
}
