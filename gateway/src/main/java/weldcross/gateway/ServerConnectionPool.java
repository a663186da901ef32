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
 * The connections to servers. Each carries one request at a time and is then idle until the next.
 * Called by the event loop alone.
 */
final class ServerConnectionPool {

  /** A connection is closed here this fraction of the server's idle timeout before the server. */
  private static final int IDLE_MARGIN_DIVISOR = 8;

  /** A connection is to be quiet for this fraction of the connect timeout before it is reused. */
  private static final int SETTLE_DIVISOR = 64;

  /** Number of connections to one server, for the log. */
  private static final class Usage {
    private int open;
    private int busy;
  }

  private final Gateway gateway;
  private final Transport transport;
  private final Duration connectTimeout;
  private final Duration idleTimeout;
  private final Duration settleTime;
  private final int maxConnections;
  private final IdleTimeoutEstimator idleTimeoutEstimator = new IdleTimeoutEstimator();
  private final Map<ServerId, InetSocketAddress> addresses = new HashMap<>();
  private final Map<Long, ServerConnection> connections = new HashMap<>();
  private final IdleConnections idle = new IdleConnections();
  private boolean idleTimerSet;

  /**
   * Creates an empty pool.
   *
   * @param gateway the owner, which provides time and timers
   * @param transport what connects and writes
   * @param connectTimeout limit for a connection to come up, and for each step of its session
   * @param serverIdleTimeout idle time after which a server closes a connection
   * @param maxConnections limit for open connections and those that are coming up
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
    this.settleTime = connectTimeout.dividedBy(SETTLE_DIVISOR);
    this.maxConnections = maxConnections;
  }

  // ---- Endpoints

  /** Sets the address of a server; idle connections to a former address are closed. */
  void setAddress(ServerId server, InetSocketAddress address) {
    InetSocketAddress before = addresses.put(server, address);
    if (before != null && !before.equals(address)) {
      idle.of(server).forEach(this::close);
    }
  }

  /** Removes a server; connections that carry a request stay until it is answered. */
  void removeServer(ServerId server) {
    addresses.remove(server);
    idle.of(server).forEach(this::close);
  }

  // ---- Requests

  /** Sends a request on an idle connection, or on a new one. */
  void send(ServerId server, ServerRequest request) {
    ServerConnection settled = settledConnection(server);
    if (settled == null) {
      connect(server, request);
      return;
    }
    if (!request.maySend()) {
      gateway.defer(() -> complete(request, AttemptOutcome.NOT_SENT, null));
      return;
    }
    Duration idleTime = gateway.now().minus(settled.idleSince);
    // A health check may be repeated, so it uses any connection; thus it is learnt when idle
    // connections are good again.
    if (request.isAnsweredPromptly() || idleTimeoutEstimator.mayReuse(idleTime)) {
      idle.remove(settled);
      settled.idleTime = idleTime;
      assign(settled, request);
      write(settled, request.message());
      return;
    }
    close(idle.leastRecent(server));
    connect(server, request);
  }

  /**
   * Returns the idle connection to reuse; null if none has been quiet for long enough. Bytes that
   * do not belong to a response come right after it, so only a quiet connection is safe.
   */
  private ServerConnection settledConnection(ServerId server) {
    Duration quietSince = gateway.now().minus(settleTime);
    ServerConnection connection = idle.mostRecent(server);
    if (connection != null && connection.idleSince.compareTo(quietSince) > 0) {
      connection = idle.leastRecent(server);
    }
    return connection != null && connection.idleSince.compareTo(quietSince) <= 0
        ? connection
        : null;
  }

  private void connect(ServerId server, ServerRequest request) {
    if (connections.size() >= maxConnections && !idle.isEmpty()) {
      close(idle.longestIdle());
    }
    InetSocketAddress address = addresses.get(server);
    if (connections.size() >= maxConnections || address == null) {
      gateway.warn("no descriptor for a connection: endpoint=" + server.name());
      gateway.defer(() -> complete(request, AttemptOutcome.UNREACHABLE, null));
      return;
    }
    ServerConnection connection = new ServerConnection(gateway.nextConnectionId(), server, address);
    connections.put(connection.number, connection);
    assign(connection, request);
    transport.connectToServer(connection.number, address);
    startTimeout(connection);
  }

  /** Ends a request; its connection is closed with it, so that no response comes any more. */
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
   * Gives the server the connect timeout for its next step. The step fails only after everything
   * was read that arrived in that time: a gateway short of processor time would otherwise take its
   * own delay for that of all servers.
   */
  private void startTimeout(ServerConnection connection) {
    int step = ++connection.step;
    gateway.schedule(
        gateway.now().plus(connectTimeout),
        () -> {
          if (connection.step == step) {
            connection.overdueStep = step;
            transport.afterPendingReads(connection.number);
          }
        });
    gateway.schedule(
        gateway.now().plus(connectTimeout.multipliedBy(2)), () -> timedOut(connection, step));
  }

  /** Everything that had arrived at {@link Transport#afterPendingReads} was read and posted. */
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
      protocolError(connection.number, "an answer that does not end");
    } else if (connection.request != null) {
      abort(connection.request, AttemptOutcome.TIMED_OUT);
    }
  }

  // ---- Events of connections

  /** A connection was accepted by its server. */
  void connected(long number) {
    ServerConnection connection = connections.get(number);
    if (connection != null) {
      connection.step++;
      connection.accepted = true;
      write(connection, MessageEncoder.startup());
    } else {
      // Cancelled as it came up: nobody else closes it.
      transport.closeNow(number);
    }
  }

  /** The server opened the session; it may ignore what is sent before. */
  void sessionReady(long number) {
    ServerConnection connection = connections.get(number);
    if (connection == null) {
      return;
    }
    connection.step++;
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

  /** A message that could not be sent at once is sent. */
  void written(long number) {
    ServerConnection connection = connections.get(number);
    if (connection != null && --connection.unsentMessages == 0) {
      allSent(connection);
    }
  }

  private void allSent(ServerConnection connection) {
    boolean prompt = connection.request != null && connection.request.isAnsweredPromptly();
    if (!connection.sessionReady || prompt) {
      startTimeout(connection);
    }
  }

  /**
   * The response to the current request is complete.
   *
   * @param hasTrailingBytes whether bytes follow it: the response counts, its connection is of no
   *     further use
   */
  void responseReceived(long number, ServerResponse response, boolean hasTrailingBytes) {
    ServerConnection connection = connections.get(number);
    if (connection == null || connection.request == null) {
      return;
    }
    ServerRequest request = connection.request;
    connection.step++;
    connection.responseStarted = false;
    if (response.sqlState() == null && !response.isComplete(request.commandTag())) {
      protocolError(number, "a row that is completed as no such statement is");
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
    complete(request, outcome(response), response);
  }

  /** A response began; it has to end in time, as the connection is blocked until then. */
  void responseStarted(long number) {
    ServerConnection connection = connections.get(number);
    if (connection != null && connection.request != null) {
      connection.responseStarted = true;
      startTimeout(connection);
    }
  }

  /** The stream is of no further use, and nothing of a response counts. */
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
   * A connection ended, or did not come up.
   *
   * @param partialResponse what had arrived of the response; null if it did not come up
   */
  void closed(long number, ServerResponse partialResponse) {
    ServerConnection connection = connections.remove(number);
    if (connection == null) {
      return;
    }
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
    boolean answered =
        partialResponse != null
            && (partialResponse.isComplete(request.commandTag())
                || partialResponse.sqlState() != null);
    AttemptOutcome outcome = answered ? outcome(partialResponse) : null;
    if (answered && (connection.sessionReady || outcome == AttemptOutcome.OVERLOADED)) {
      complete(request, outcome, partialResponse);
    } else {
      complete(request, outcomeOfLoss(connection), null);
    }
  }

  /**
   * A connection was reset before it came up. Somebody had accepted it, which a host without the
   * server's process cannot do.
   */
  void connectionReset(long number) {
    ServerConnection connection = connections.get(number);
    if (connection != null) {
      connection.accepted = true;
      closed(number, null);
    }
  }

  /** Returns what it means for the current request that its connection ended. */
  private AttemptOutcome outcomeOfLoss(ServerConnection connection) {
    boolean reused = connection.idleTime != null && !connection.responseStarted;
    if (connection.sessionReady && !connection.responseStarted) {
      idleTimeoutEstimator.recordLost(connection.idleTime);
    }
    if (connection.sessionReady && connection.unsentMessages == 0) {
      return reused ? AttemptOutcome.IDLE_CONNECTION_LOST : AttemptOutcome.CONNECTION_LOST;
    }
    // Accepted and closed before the session, or closed while idle: the server may well be alive.
    return reused || (connection.accepted && !connection.sessionReady)
        ? AttemptOutcome.CLOSED_BEFORE_SEND
        : AttemptOutcome.UNREACHABLE;
  }

  private static AttemptOutcome outcome(ServerResponse response) {
    if (response.sqlState() == null) {
      return AttemptOutcome.OK;
    }
    return switch (response.sqlState()) {
      case "25006", "72000" -> AttemptOutcome.INELIGIBLE;
      case "53300" -> AttemptOutcome.OVERLOADED;
      default -> AttemptOutcome.ERROR;
    };
  }

  // ---- Connections

  /**
   * Writes a message. What is sent at once is noted before any other event of the connection: after
   * an end that came first, a request that ran would count as never sent, and be sent twice.
   */
  private void write(ServerConnection connection, ByteBuffer... parts) {
    if (transport.write(connection.number, parts)) {
      allSent(connection);
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
    setIdleTimer();
  }

  /**
   * Sets one timer for all idle connections, as they are reused far more often than they expire.
   */
  private void setIdleTimer() {
    if (!idleTimerSet && !idle.isEmpty()) {
      idleTimerSet = true;
      gateway.schedule(idle.longestIdle().idleSince.plus(idleTimeout), this::closeExpired);
    }
  }

  private void closeExpired() {
    idleTimerSet = false;
    while (!idle.isEmpty()
        && gateway.now().compareTo(idle.longestIdle().idleSince.plus(idleTimeout)) >= 0) {
      close(idle.longestIdle());
    }
    setIdleTimer();
  }

  private void close(ServerConnection connection) {
    connections.remove(connection.number);
    idle.remove(connection);
    if (connection.request != null) {
      connection.request.connection = null;
      connection.request = null;
    }
    transport.closeNow(connection.number);
  }

  /** Returns for each server, by name, how many connections carry a request, of how many. */
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
