package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import weldcross.config.GatewayConfig;
import weldcross.connections.ClientEvictionPolicy;
import weldcross.pgwire.MessageEncoder;

/**
 * The connections of clients: accepts them within a limit, evicts and closes them. {@code
 * docs/architecture.md} has a table of all ways in which a connection ends.
 */
final class ClientConnections {

  /** A client may be silent for this many connect timeouts. */
  private static final int SILENCE_IN_CONNECT_TIMEOUTS = 8;

  private final Gateway gateway;
  private final Transport transport;
  private final SplittableRandom secrets;
  private final int maxClients;

  /** How long a client has to end a message that has begun, or to send its first statement. */
  private final Duration maxSilence;

  /** Also how long a connection that was closed from here is kept for its client to read. */
  private final Duration connectTimeout;

  /** All that are open, by their number, in the order accepted. */
  private final Map<Long, ClientConnection> open = new LinkedHashMap<>();

  /** Closed from here; their clients may still be reading what was sent. */
  private final Set<Long> lingering = new HashSet<>();

  /** Number of open connections that the transport was asked to close if they are quiet. */
  private int closePending;

  /**
   * Creates the set of connections, which is empty.
   *
   * @param maxClients the most connections open at a time
   */
  ClientConnections(Gateway gateway, Transport transport, GatewayConfig config, int maxClients) {
    this.gateway = gateway;
    this.transport = transport;
    this.secrets = new SplittableRandom(config.seed()).split();
    this.maxClients = maxClients;
    this.maxSilence = config.connectTimeout().multipliedBy(SILENCE_IN_CONNECT_TIMEOUTS);
    this.connectTimeout = config.connectTimeout();
  }

  /** Returns an open connection; null if there is none of that number. */
  ClientConnection find(long number) {
    return open.get(number);
  }

  int size() {
    return open.size();
  }

  boolean hasOpen() {
    return !open.isEmpty();
  }

  /** Whether no connection is open or waits for its client to read. */
  boolean allClosed() {
    return open.isEmpty() && lingering.isEmpty();
  }

  /** A connection was accepted; with no room left it is told so and closed. */
  void accepted(long number) {
    ClientConnection client = new ClientConnection(number, secrets.nextInt(), gateway.now());
    if (open.size() - closePending >= maxClients && !evictOne()) {
      transport.write(number, MessageEncoder.fatal("53300", "too many clients"));
      closeAfterWrite(client);
      return;
    }
    open.put(number, client);
    expectFirstStatement(client);
  }

  /** A client that sends no statement in time is closed. */
  private void expectFirstStatement(ClientConnection client) {
    if (client.statements == 0) {
      gateway.at(
          gateway.now().plus(maxSilence),
          () -> {
            if (client.statements == 0 && !client.closed) {
              closeIfQuiet(client);
            }
          });
    }
  }

  /** Closes one connection in favour of a new one; false where none may be closed. */
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

  /** A message has begun, which its client has to end in time. */
  void messageStarted(long number) {
    ClientConnection client = open.get(number);
    if (client != null) {
      client.messageStarted();
      limitPartialMessage(client);
    }
  }

  /** Reading of a client goes on after a pause, in which it could not end its message. */
  void readingResumed(ClientConnection client) {
    limitPartialMessage(client);
  }

  /**
   * Limits the time that a client has to end its message. The time counts while the gateway reads;
   * a pause ends only before the message is received, so that one timer a message is enough.
   */
  private void limitPartialMessage(ClientConnection client) {
    if (client.readPaused || !client.hasPartialMessage()) {
      return;
    }
    int messages = client.messages;
    gateway.at(
        gateway.now().plus(maxSilence),
        () -> {
          if (!client.closed && client.messages == messages) {
            transport.checkMessageIncomplete(client.number, messages);
          }
        });
  }

  /**
   * All that a client had sent when its time to end a message was over is read.
   *
   * @param messages number of messages received before that one
   */
  void messageIncomplete(long number, int messages) {
    ClientConnection client = open.get(number);
    if (client != null && client.messages == messages) {
      closeWithError(client, "08P01", "a message without an end");
    }
  }

  /** A message cannot be read, and so nothing that follows it can be. */
  void protocolError(long number, String sqlState, String text) {
    ClientConnection client = open.get(number);
    if (client != null) {
      closeWithError(client, sqlState, text);
    }
  }

  /** A client sent Terminate. */
  void terminated(long number) {
    transport.closeNow(number);
    disconnected(number);
  }

  /** A connection was closed by its client, or was lost. */
  void disconnected(long number) {
    ClientConnection client = open.get(number);
    if (client != null) {
      remove(client);
      abandonRequests(client);
    }
    if (lingering.remove(number) || client != null) {
      gateway.shutdown().stopIfDone();
    }
  }

  /** Closes all connections on which nothing is unanswered. */
  void closeAllIdle() {
    List.copyOf(open.values()).forEach(this::closeIfIdle);
  }

  /** Closes a connection if nothing on it is unanswered. */
  void closeIfIdle(ClientConnection client) {
    if (client.isIdle()) {
      closeIfQuiet(client);
    }
  }

  /**
   * Asks the transport to close a connection on which nothing is unanswered. What its client sends
   * at this same moment may have been received already, so the transport decides once all of that
   * is read, see {@link #closeDecided}.
   */
  private void closeIfQuiet(ClientConnection client) {
    if (!client.closePending) {
      client.closePending = true;
      closePending++;
      transport.closeIfQuiet(client.number, client.messages);
    }
  }

  /**
   * The transport has decided on a close that it was asked for.
   *
   * @param closed whether nothing more was received and the connection is closed
   */
  void closeDecided(long number, boolean closed) {
    ClientConnection client = open.get(number);
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
    expectFirstStatement(client);
    if (gateway.shutdown().isClosing()) {
      closeIfIdle(client);
    }
  }

  /**
   * Closes a connection with an error. What was received on it gets its response or, where there is
   * none yet, an error, so that no request is left without one.
   */
  private void closeWithError(ClientConnection client, String sqlState, String text) {
    gateway.warn("client connection closed: reason=" + text);
    List<ByteBuffer> parts = new ArrayList<>();
    for (PipelinedRequest request : client.inFlight) {
      if (request.response != null) {
        parts.addAll(List.of(request.response));
      } else {
        parts.add(AttemptTracker.failedResponse());
      }
    }
    client.waiting.forEach(request -> parts.add(MessageEncoder.error("53300", "not begun", null)));
    parts.add(MessageEncoder.fatal(sqlState, text));
    transport.write(client.number, parts.toArray(new ByteBuffer[0]));
    closeAfterWrite(client);
    abandonRequests(client);
  }

  /** Ends sending once all is written; the client has some time to read it. */
  private void closeAfterWrite(ClientConnection client) {
    remove(client);
    transport.closeGracefully(client.number);
    linger(client);
  }

  /** Drops a connection, unless its client closes it before, after the time to read. */
  private void linger(ClientConnection client) {
    lingering.add(client.number);
    gateway.at(
        gateway.now().plus(connectTimeout),
        () -> {
          transport.closeNow(client.number);
          lingering.remove(client.number);
          gateway.shutdown().stopIfDone();
        });
  }

  private void remove(ClientConnection client) {
    open.remove(client.number);
    closePending -= client.closePending ? 1 : 0;
    client.closePending = false;
    client.closed = true;
    client.waiting.clear();
  }

  private void abandonRequests(ClientConnection client) {
    for (PipelinedRequest next = client.inFlight.poll();
        next != null;
        next = client.inFlight.poll()) {
      RoutedRequest request = next.routed;
      if (request != null && !request.answered) {
        gateway.attempts().abandon(request);
        gateway.attempts().removeIfDone(request);
      }
    }
  }
}
