package weldcross.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import weldcross.connections.IdleTimeoutEstimator;
import weldcross.pgwire.MessageEncoder;
import weldcross.pgwire.ServerResponse;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.ServerId;

/**
 * Pool of connections to servers. A connection carries one request at a time and is idle between
 * requests. Called only by the event loop.
 */
final class ServerConnectionPool {

  /**
   * The pool closes an idle connection this fraction of the server's idle timeout before the server
   * would.
   */
  private static final int IDLE_MARGIN_DIVISOR = 8;

  /** A connection must be idle for this fraction of the connect timeout before it is reused. */
  private static final int QUIET_PERIOD_DIVISOR = 64;

  private static final String READ_ONLY_SQL_TRANSACTION = "25006";
  private static final String SNAPSHOT_TOO_OLD = "72000";
  private static final String TOO_MANY_CONNECTIONS = "53300";

  /** Numbers of connections to one server, for the log. */
  private static final class Usage {
    private int open;
    private int busy;
  }

  private final Gateway gateway;
  private final Transport transport;
  private final Duration connectTimeout;
  private final Duration idleTimeout;
  private final Duration quietPeriod;
  private final int maxConnections;
  private final IdleTimeoutEstimator idleTimeoutEstimator = new IdleTimeoutEstimator();
  private final Map<ServerId, InetSocketAddress> addresses = new HashMap<>();
  private final Map<Long, ServerConnection> connections = new HashMap<>();
  private final IdleConnections idle = new IdleConnections();
  private boolean idleTimerRunning;

  /**
   * Creates an empty pool.
   *
   * @param gateway the owner, which provides the time and timers
   * @param transport connects and writes
   * @param connectTimeout limit for connecting and for each step of the session
   * @param serverIdleTimeout idle time after which a server closes a connection
   * @param maxConnections limit for open and pending connections together
   */
  ServerConnectionPool(
      Gateway gateway,
      Transport transport,
      Duration connectTimeout,
      Duration serverIdleTimeout,
      int maxConnections) {
    this.gateway = gateway;
    this.transport = transport;
    this.connectTimeout = connectTimeout;
    this.idleTimeout = serverIdleTimeout.minus(serverIdleTimeout.dividedBy(IDLE_MARGIN_DIVISOR));
    this.quietPeriod = connectTimeout.dividedBy(QUIET_PERIOD_DIVISOR);
    this.maxConnections = maxConnections;
  }

  // ---- Endpoints

  /** Sets the address of a server; idle connections to its previous address are closed. */
  void setAddress(ServerId server, InetSocketAddress address) {
    InetSocketAddress previous = addresses.put(server, address);
    if (previous != null && !previous.equals(address)) {
      idle.connectionsTo(server).forEach(this::close);
    }
  }

  /** Removes a server; connections that carry a request stay open until it is answered. */
  void removeServer(ServerId server) {
    addresses.remove(server);
    idle.connectionsTo(server).forEach(this::close);
  }

  // ---- Requests

  /** Sends a request on an idle connection or on a new one. */
  void send(ServerId server, ServerRequest request) {
    ServerConnection reusable = reusableConnection(server);
    if (reusable == null) {
      connect(server, request);
      return;
    }
    if (!request.maySend()) {
      gateway.defer(() -> complete(request, AttemptOutcome.NOT_SENT, null));
      return;
    }
    Duration idleTime = gateway.now().minus(reusable.idleSince);
    // A health check can be repeated, so it uses a connection of any idle time. Its results show
    // when connections of that idle time can be reused again.
    if (request.isAnsweredPromptly() || idleTimeoutEstimator.mayReuse(idleTime)) {
      idle.remove(reusable);
      reusable.idleTime = idleTime;
      assign(reusable, request);
      write(reusable, request.message());
      return;
    }
    close(idle.leastRecentlyUsed(server));
    connect(server, request);
  }

  /**
   * Returns the idle connection to reuse; null if none has been idle for the quiet period. Bytes
   * that do not belong to a response usually arrive right after it; a connection that has received
   * nothing during the quiet period is safe to reuse.
   */
  private ServerConnection reusableConnection(ServerId server) {
    Duration latestIdleSince = gateway.now().minus(quietPeriod);
    ServerConnection connection = idle.mostRecentlyUsed(server);
    if (connection != null && connection.idleSince.compareTo(latestIdleSince) > 0) {
      connection = idle.leastRecentlyUsed(server);
    }
    return connection != null && connection.idleSince.compareTo(latestIdleSince) <= 0
        ? connection
        : null;
  }

  private void connect(ServerId server, ServerRequest request) {
    if (connections.size() >= maxConnections && !idle.isEmpty()) {
      close(idle.longestIdle());
    }
    InetSocketAddress address = addresses.get(server);
    if (connections.size() >= maxConnections || address == null) {
      gateway.warn("connection limit reached or no address: endpoint=" + server.name());
      gateway.defer(() -> complete(request, AttemptOutcome.UNREACHABLE, null));
      return;
    }
    ServerConnection connection = new ServerConnection(gateway.nextConnectionId(), server, address);
    connections.put(connection.number, connection);
    assign(connection, request);
    transport.connectToServer(connection.number, address);
    startTimeout(connection);
  }

  /** Ends a request and closes its connection, so that no response is received any more. */
  void abort(ServerRequest request, AttemptOutcome outcome) {
    if (request.connection != null) {
      close(request.connection);
    }
    gateway.defer(() -> complete(request, outcome, null));
  }

  private static void assign(ServerConnection connection, ServerRequest request) {
    connection.request = request;
    request.connection = connection;
  }

  private static void complete(
      ServerRequest request, AttemptOutcome outcome, ServerResponse response) {
    if (!request.done) {
      request.done = true;
      request.completed(outcome, response);
    }
  }

  // ---- Timeouts

  /**
   * Starts the timeout of the server's next step. The step fails only after everything received
   * before the timeout was read; otherwise a gateway that lacks CPU time would mistake its own
   * delay for unresponsive servers. It fails in any case after twice the timeout.
   */
  private void startTimeout(ServerConnection connection) {
    connection.beginStep();
    int step = connection.step;
    Duration now = gateway.now();
    connection.setTimeouts(
        gateway.schedule(
            now.plus(connectTimeout),
            () -> {
              connection.overdueStep = step;
              transport.afterPendingReads(connection.number);
            }),
        gateway.schedule(
            now.plus(connectTimeout.multipliedBy(2)), () -> timedOut(connection, step)));
  }

  /**
   * Handles that everything received before {@link Transport#afterPendingReads} was called has been
   * read and posted.
   */
  void pendingReadsDone(long number) {
    ServerConnection connection = connections.get(number);
    if (connection != null) {
      timedOut(connection, connection.overdueStep);
    }
  }

  private void timedOut(ServerConnection connection, int step) {
    if (connection.step != step || !connections.containsKey(connection.number)) {
      return;
    }
    if (!connection.sessionReady) {
      transport.closeNow(connection.number);
      connection.accepted = false;
      closed(connection.number, null);
    } else if (connection.responseStarted) {
      protocolError(connection.number, "response not completed in time");
    } else if (connection.request != null) {
      abort(connection.request, AttemptOutcome.TIMED_OUT);
    }
  }

  // ---- Events of connections

  /** Handles that a server accepted a connection. */
  void connected(long number) {
    ServerConnection connection = connections.get(number);
    if (connection != null) {
      connection.beginStep();
      connection.accepted = true;
      write(connection, MessageEncoder.startup());
    } else {
      // Cancelled while it was established, so it has to be closed here.
      transport.closeNow(number);
    }
  }

  /**
   * Handles that the server is ready for requests, which are not sent earlier because the server
   * may ignore them.
   */
  void sessionReady(long number) {
    ServerConnection connection = connections.get(number);
    if (connection == null) {
      return;
    }
    connection.beginStep();
    connection.sessionReady = true;
    connection.readySince = gateway.now();
    ServerRequest request = connection.request;
    if (request.maySend()) {
      write(connection, request.message());
      return;
    }
    connection.request = null;
    request.connection = null;
    release(connection);
    complete(request, AttemptOutcome.NOT_SENT, null);
  }

  /** Handles that a message that could not be sent immediately has been sent. */
  void written(long number) {
    ServerConnection connection = connections.get(number);
    if (connection != null && --connection.unsentMessages == 0) {
      allMessagesSent(connection);
    }
  }

  private void allMessagesSent(ServerConnection connection) {
    boolean answeredPromptly =
        connection.request != null && connection.request.isAnsweredPromptly();
    if (!connection.sessionReady || answeredPromptly) {
      startTimeout(connection);
    }
  }

  /**
   * Handles a complete response to the current request.
   *
   * @param hasTrailingBytes whether bytes follow it; if so, the response is used and its connection
   *     is closed
   */
  void responseReceived(long number, ServerResponse response, boolean hasTrailingBytes) {
    ServerConnection connection = connections.get(number);
    if (connection == null || connection.request == null) {
      response.release();
      return;
    }
    ServerRequest request = connection.request;
    connection.beginStep();
    connection.responseStarted = false;
    if (response.sqlState() == null && !response.isComplete(request.commandTag())) {
      response.release();
      protocolError(number, "command tag does not match the statement");
      return;
    }
    idleTimeoutEstimator.recordAnswered(connection.idleTime);
    connection.request = null;
    request.connection = null;
    request.connectedSince = connection.readySince;
    if (hasTrailingBytes) {
      gateway.warn("bytes after a response: endpoint=" + connection.server.name());
      close(connection);
    } else {
      release(connection);
    }
    complete(request, outcomeOf(response), response);
    response.release();
  }

  /** Handles the first part of a response, whose rest must arrive before the connect timeout. */
  void responseStarted(long number) {
    ServerConnection connection = connections.get(number);
    if (connection != null && connection.request != null) {
      connection.responseStarted = true;
      startTimeout(connection);
    }
  }

  /** Closes a connection after a protocol error; a response that has begun is discarded. */
  void protocolError(long number, String reason) {
    ServerConnection connection = connections.get(number);
    if (connection == null) {
      return;
    }
    gateway.warn("protocol error: endpoint=" + connection.server.name() + " reason=" + reason);
    ServerRequest request = connection.request;
    boolean sessionReady = connection.sessionReady;
    close(connection);
    if (request != null) {
      complete(
          request,
          sessionReady ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.UNREACHABLE,
          null);
    }
  }

  /**
   * Handles that a connection was closed or could not be established.
   *
   * @param partialResponse the part of the response that was received; null if the connection was
   *     not established
   */
  void closed(long number, ServerResponse partialResponse) {
    completeClosed(number, partialResponse);
    if (partialResponse != null) {
      partialResponse.release();
    }
  }

  private void completeClosed(long number, ServerResponse partialResponse) {
    ServerConnection connection = connections.remove(number);
    if (connection == null) {
      return;
    }
    connection.cancelTimeouts();
    idle.remove(connection);
    if (!connection.sessionReady) {
      gateway.warn(
          "connection failed: endpoint="
              + connection.server.name()
              + " address="
              + connection.address);
    }
    ServerRequest request = connection.request;
    if (request == null) {
      return;
    }
    request.connection = null;
    connection.request = null;
    boolean answered =
        partialResponse != null
            && (partialResponse.isComplete(request.commandTag())
                || partialResponse.sqlState() != null);
    AttemptOutcome outcome = answered ? outcomeOf(partialResponse) : null;
    if (answered && (connection.sessionReady || outcome == AttemptOutcome.OVERLOADED)) {
      complete(request, outcome, partialResponse);
    } else {
      complete(request, outcomeOfClose(connection), null);
    }
  }

  /**
   * Handles that a connection was reset while it was established. It had been accepted before the
   * reset, so the server process is running.
   */
  void connectionReset(long number) {
    ServerConnection connection = connections.get(number);
    if (connection != null) {
      connection.accepted = true;
      closed(number, null);
    }
  }

  /** Returns the outcome of an unanswered request whose connection was closed. */
  private AttemptOutcome outcomeOfClose(ServerConnection connection) {
    boolean reused = connection.idleTime != null && !connection.responseStarted;
    if (connection.sessionReady && !connection.responseStarted) {
      idleTimeoutEstimator.recordLost(connection.idleTime);
    }
    if (connection.sessionReady && connection.unsentMessages == 0) {
      return reused ? AttemptOutcome.IDLE_CONNECTION_LOST : AttemptOutcome.CONNECTION_LOST;
    }
    // A server that accepts a connection and closes it before the session is ready, or closes an
    // idle one, may be alive.
    return reused || (connection.accepted && !connection.sessionReady)
        ? AttemptOutcome.CLOSED_BEFORE_SEND
        : AttemptOutcome.UNREACHABLE;
  }

  private static AttemptOutcome outcomeOf(ServerResponse response) {
    if (response.sqlState() == null) {
      return AttemptOutcome.OK;
    }
    return switch (response.sqlState()) {
      case READ_ONLY_SQL_TRANSACTION, SNAPSHOT_TOO_OLD -> AttemptOutcome.INELIGIBLE;
      case TOO_MANY_CONNECTIONS -> AttemptOutcome.OVERLOADED;
      default -> AttemptOutcome.ERROR;
    };
  }

  // ---- Connections

  /**
   * Writes a message. A message that is sent immediately is recorded as sent before any other event
   * of the connection is handled. If the close of the connection were handled first, a request that
   * the server executed would count as not sent and be sent again.
   */
  private void write(ServerConnection connection, ByteBuffer... parts) {
    transport.expectResponse(
        connection.number, connection.request.responseMemory().expectResponse());
    if (transport.write(connection.number, parts)) {
      allMessagesSent(connection);
    } else {
      connection.unsentMessages++;
    }
  }

  private void release(ServerConnection connection) {
    if (!connection.address.equals(addresses.get(connection.server))) {
      close(connection);
      return;
    }
    connection.idleSince = gateway.now();
    idle.add(connection);
    startIdleTimer();
  }

  /**
   * Starts the idle timer if it is not running. One timer serves all idle connections, as they are
   * reused far more often than they expire.
   */
  private void startIdleTimer() {
    if (!idleTimerRunning && !idle.isEmpty()) {
      idleTimerRunning = true;
      gateway.schedule(idle.longestIdle().idleSince.plus(idleTimeout), this::closeExpired);
    }
  }

  private void closeExpired() {
    idleTimerRunning = false;
    while (!idle.isEmpty()
        && gateway.now().compareTo(idle.longestIdle().idleSince.plus(idleTimeout)) >= 0) {
      close(idle.longestIdle());
    }
    startIdleTimer();
  }

  private void close(ServerConnection connection) {
    connections.remove(connection.number);
    connection.cancelTimeouts();
    idle.remove(connection);
    if (connection.request != null) {
      connection.request.connection = null;
      connection.request = null;
    }
    transport.closeNow(connection.number);
  }

  /** Describes, for each server by name, the number of busy and of all connections, for the log. */
  String describe() {
    Map<String, Usage> usages = new TreeMap<>();
    for (ServerConnection connection : connections.values()) {
      Usage usage = usages.computeIfAbsent(connection.server.name(), name -> new Usage());
      usage.open++;
      usage.busy += connection.request == null ? 0 : 1;
    }
    StringBuilder text = new StringBuilder("connections");
    usages.forEach(
        (server, usage) ->
            text.append(' ')
                .append(server)
                .append(' ')
                .append(usage.busy)
                .append('/')
                .append(usage.open));
    return text.toString();
  }
}
