package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import weldcross.config.GatewayConfig;
import weldcross.connections.ClientEvictionPolicy;
import weldcross.pgwire.MessageEncoder;

/**
 * Manages client connections: accepts them up to a limit, evicts idle ones, enforces timeouts and
 * closes them. {@code docs/architecture.md} lists all the ways in which a connection can end.
 */
final class ClientConnections {

  /** The message timeout as a multiple of the connect timeout. */
  private static final int MESSAGE_TIMEOUT_MULTIPLE = 8;

  private static final RepeatedResponse NOT_BEGUN =
      new RepeatedResponse(MessageEncoder.error("53300", "not begun", null));

  private final Gateway gateway;
  private final Transport transport;
  private final SplittableRandom secretKeys;
  private final int maxClients;

  /** How long a client may take to complete a message, or to send its first statement. */
  private final Duration messageTimeout;

  /** Also how long a half-closed connection is kept so that its client can read the last bytes. */
  private final Duration connectTimeout;

  /** Open connections by id, in the order accepted. */
  private final Map<Long, ClientConnection> open = new LinkedHashMap<>();

  /** Connections half-closed by the gateway, by id, whose clients may still be reading. */
  private final Map<Long, ClientConnection> lingering = new HashMap<>();

  /** Number of open connections with a pending conditional close. */
  private int closePending;

  /**
   * Creates the manager, without any connections.
   *
   * @param maxClients maximum number of open connections
   */
  ClientConnections(Gateway gateway, Transport transport, GatewayConfig config, int maxClients) {
    this.gateway = gateway;
    this.transport = transport;
    this.secretKeys = new SplittableRandom(config.seed()).split();
    this.maxClients = maxClients;
    this.messageTimeout = config.connectTimeout().multipliedBy(MESSAGE_TIMEOUT_MULTIPLE);
    this.connectTimeout = config.connectTimeout();
  }

  /** Returns an open connection; null if no open connection has this id. */
  ClientConnection find(long connectionId) {
    return open.get(connectionId);
  }

  int size() {
    return open.size();
  }

  boolean hasOpen() {
    return !open.isEmpty();
  }

  /** Whether no connection is open or lingering. */
  boolean allClosed() {
    return open.isEmpty() && lingering.isEmpty();
  }

  /** Handles a new connection. At the limit, if none can be evicted, it is closed with an error. */
  void accepted(long connectionId) {
    ClientConnection client =
        new ClientConnection(
            connectionId,
            secretKeys.nextInt(),
            gateway.now(),
            gateway.responseMemory().openAccount());
    if (open.size() - closePending >= maxClients && !evictOne()) {
      transport.write(connectionId, MessageEncoder.fatal("53300", "too many clients"));
      closeAfterWrite(client);
      return;
    }
    open.put(connectionId, client);
    startFirstStatementTimeout(client);
  }

  /** Closes a connection whose client sends no statement within the message timeout. */
  private void startFirstStatementTimeout(ClientConnection client) {
    if (client.statements == 0) {
      client.firstStatementTimer.cancel();
      client.firstStatementTimer =
          gateway.schedule(
              gateway.now().plus(messageTimeout),
              () -> {
                if (client.statements == 0) {
                  closeIfQuiet(client);
                }
              });
    }
  }

  /** Evicts one connection to admit a new one; returns false if none may be evicted. */
  private boolean evictOne() {
    ClientEvictionPolicy<ClientConnection> policy =
        new ClientEvictionPolicy<>(gateway.now(), connectTimeout);
    open.values().stream()
        .filter(client -> !client.closePending)
        .forEach(
            client ->
                policy.addCandidate(
                    client, client.statements, client.isIdle() ? client.idleSince : null));
    ClientConnection evicted = policy.choose().orElse(null);
    if (evicted != null) {
      closeIfQuiet(evicted);
    }
    return evicted != null;
  }

  /** Handles the start of a message that has not been received completely. */
  void messageStarted(long connectionId) {
    ClientConnection client = open.get(connectionId);
    if (client != null) {
      client.messageStarted();
      startMessageTimeout(client);
    }
  }

  /** Restarts the message timeout after a pause in reading. */
  void readingResumed(ClientConnection client) {
    startMessageTimeout(client);
  }

  /**
   * Starts the timeout for the rest of a partially received message. It runs only while the gateway
   * reads from the connection.
   */
  private void startMessageTimeout(ClientConnection client) {
    if (client.readPaused || !client.hasPartialMessage()) {
      return;
    }
    int messages = client.messages;
    client.messageTimer.cancel();
    client.messageTimer =
        gateway.schedule(
            gateway.now().plus(messageTimeout),
            () -> {
              if (client.messages == messages) {
                transport.checkMessageIncomplete(client.id, messages);
              }
            });
  }

  /**
   * Handles a message that is still incomplete after its timeout, although everything that arrived
   * before the timeout has been read.
   *
   * @param messages number of messages received before the incomplete one
   */
  void messageIncomplete(long connectionId, int messages) {
    ClientConnection client = open.get(connectionId);
    if (client != null && client.messages == messages) {
      closeWithError(client, "08P01", "a message without an end");
    }
  }

  /** Closes a connection on which a malformed message makes all later input undecodable. */
  void protocolError(long connectionId, String sqlState, String text) {
    ClientConnection client = open.get(connectionId);
    if (client != null) {
      closeWithError(client, sqlState, text);
    }
  }

  /** Handles a client's Terminate message. */
  void terminated(long connectionId) {
    transport.closeNow(connectionId);
    disconnected(connectionId);
  }

  /** Handles a connection that was closed by its client or lost. */
  void disconnected(long connectionId) {
    ClientConnection client = open.get(connectionId);
    if (client != null) {
      remove(client);
      abandonRequests(client);
      client.releaseUnwritten();
    }
    if (stopLingering(connectionId) || client != null) {
      gateway.shutdown().stopIfDone();
    }
  }

  /** Closes all idle connections. */
  void closeAllIdle() {
    List.copyOf(open.values()).forEach(this::closeIfIdle);
  }

  /** Closes a connection if it is idle. */
  void closeIfIdle(ClientConnection client) {
    if (client.isIdle()) {
      closeIfQuiet(client);
    }
  }

  /**
   * Requests a conditional close of an idle connection. Its client may just have sent a request
   * that is received but not yet read, so the transport first reads everything that has arrived and
   * reports the result to {@link #closeDecided}.
   */
  private void closeIfQuiet(ClientConnection client) {
    if (!client.closePending) {
      client.closePending = true;
      closePending++;
      transport.closeIfQuiet(client.id, client.messages);
    }
  }

  /**
   * Handles the result of a conditional close.
   *
   * @param closed whether nothing more was received and the connection was therefore closed
   */
  void closeDecided(long connectionId, boolean closed) {
    ClientConnection client = open.get(connectionId);
    if (client == null) {
      return;
    }
    client.closePending = false;
    closePending--;
    if (closed) {
      remove(client);
      abandonRequests(client);
      linger(client);
      return;
    }
    startFirstStatementTimeout(client);
    if (gateway.shutdown().isClosing()) {
      closeIfIdle(client);
    }
  }

  /**
   * Closes a connection with an error. Each outstanding request first gets its response or, if it
   * has none yet, an error, so that no request is left unanswered.
   */
  private void closeWithError(ClientConnection client, String sqlState, String text) {
    gateway.warn("client connection closed: reason=" + text);
    List<ByteBuffer> parts = new ArrayList<>();
    for (PipelinedRequest request : client.inFlight) {
      if (request.hasResponse()) {
        parts.addAll(List.of(request.takeResponse()));
      } else {
        parts.add(AttemptTracker.failedResponse());
      }
    }
    for (WaitingMessages messages : client.waiting) {
      NOT_BEGUN.addTo(parts, messages.count());
    }
    parts.add(MessageEncoder.fatal(sqlState, text));
    transport.write(client.id, parts.toArray(new ByteBuffer[0]));
    closeAfterWrite(client);
    abandonRequests(client);
  }

  /** Half-closes a connection after all pending writes and lets its client read them. */
  private void closeAfterWrite(ClientConnection client) {
    remove(client);
    transport.closeGracefully(client.id);
    linger(client);
  }

  /** Closes a half-closed connection after the connect timeout, unless its client does earlier. */
  private void linger(ClientConnection client) {
    lingering.put(client.id, client);
    client.lingerTimer =
        gateway.schedule(
            gateway.now().plus(connectTimeout),
            () -> {
              transport.closeNow(client.id);
              stopLingering(client.id);
              gateway.shutdown().stopIfDone();
            });
  }

  /** Returns whether the connection was lingering; what it had not read is dropped. */
  private boolean stopLingering(long connectionId) {
    ClientConnection client = lingering.remove(connectionId);
    if (client == null) {
      return false;
    }
    client.lingerTimer.cancel();
    client.releaseUnwritten();
    return true;
  }

  private void remove(ClientConnection client) {
    open.remove(client.id);
    closePending -= client.closePending ? 1 : 0;
    client.closePending = false;
    client.closed = true;
    client.cancelTimers();
    client.waiting.clear();
  }

  private void abandonRequests(ClientConnection client) {
    for (PipelinedRequest next = client.inFlight.poll();
        next != null;
        next = client.inFlight.poll()) {
      next.dropResponse();
      RoutedRequest request = next.routed;
      if (request != null && !request.answered) {
        gateway.attempts().abandon(request);
        gateway.attempts().removeIfDone(request);
      }
    }
  }
}
