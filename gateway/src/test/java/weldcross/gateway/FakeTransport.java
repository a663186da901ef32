package weldcross.gateway;

import static weldcross.gateway.ServerMessages.message;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import weldcross.pgwire.ResponseAccount;

/**
 * In-memory transport. Records the calls of a gateway, has a {@link RequestHistory} check the
 * requests, and responds as its flags say.
 */
abstract class FakeTransport implements Transport {

  private static final int FIRST_SERVER_PORT = 7000;

  /** Length of a message's header: one byte of type and four bytes of length. */
  private static final int HEADER_BYTES = 5;

  final RequestHistory history = new RequestHistory();
  final Map<Long, FakeConnection> connections = new LinkedHashMap<>();

  /** Names and arguments of those calls that change no other state here. */
  final List<String> calls = new ArrayList<>();

  /** Connections with a write whose completion has not been reported to the gateway. */
  final List<Long> pendingWrites = new ArrayList<>();

  /** Idle time of each server connection before its last statement; null if it was new. */
  final Map<Long, Duration> idleTimeBeforeStatement = new HashMap<>();

  /** Clients that do not read yet what is written to them. */
  final Set<Long> slowReaders = new HashSet<>();

  /** Clients whose input has been left unread for too long. */
  final Set<Long> inputBehind = new HashSet<>();

  /** Servers to which no connection is established. */
  final Set<String> unreachable = new HashSet<>();

  /** Clients to be closed if quiet, with the number of messages that the gateway received. */
  final Map<Long, Integer> pendingCloses = new LinkedHashMap<>();

  /**
   * Clients to be checked for an incomplete message, with the number of messages that the gateway
   * received before it.
   */
  final Map<Long, Integer> pendingChecks = new LinkedHashMap<>();

  /** Connections closed with {@link #closeNow}, as opposed to half-closed ones. */
  final Set<Long> droppedConnections = new HashSet<>();

  final EventLoop loop = new EventLoop(() -> this.now);

  /** The gateway under test; set before the first event. */
  Gateway gateway;

  /** The clock. */
  Duration now = Duration.ZERO;

  /** The number of the latest connection to discovery. */
  long discovery;

  boolean listening;

  /** Whether each write is completed immediately. */
  boolean writesCompleteImmediately;

  /** Whether received bytes are not read, as if the reading thread got no CPU time. */
  boolean readsDelayed;

  /** Whether clients keep their side open after the gateway has half-closed a connection. */
  boolean clientsKeepOpen;

  /** How far {@link #now()} is ahead of the time at which the current event began. */
  Duration eventDuration = Duration.ZERO;

  /** Called with the name of the server when a client's statement is sent to it. */
  Consumer<String> onSent = server -> {};

  @Override
  public Duration now() {
    return now.plus(eventDuration);
  }

  @Override
  public void listen(InetSocketAddress at) {
    listening = true;
  }

  @Override
  public void warmUp() {
    gateway.defer(gateway::warmUpCompleted);
  }

  @Override
  public void stopListening() {
    listening = false;
  }

  @Override
  public void listenForGossip(InetSocketAddress at) {
    calls.add("listenForGossip " + at.getPort());
  }

  @Override
  public void connectToServer(long number, InetSocketAddress to) {
    FakeConnection connection = new FakeConnection();
    connection.server = "s-" + (to.getPort() - FIRST_SERVER_PORT);
    connections.put(number, connection);
    connection.serverDecoder = MessageDecoders.forServer(loop::post, number);
    if (!unreachable.contains(connection.server)) {
      gateway.defer(
          () -> {
            connection.open = true;
            gateway.serverConnections().connected(number);
          });
    }
  }

  @Override
  public void connectToDiscovery(long number, InetSocketAddress to) {
    discovery = number;
    connections.put(number, new FakeConnection());
    connections.get(number).discoveryPort = to.getPort();
  }

  @Override
  public void expectResponse(long number, ResponseAccount memory) {
    connections.get(number).serverDecoder.expectResponse(memory);
  }

  @Override
  public boolean write(long number, ByteBuffer... parts) {
    FakeConnection connection = connections.get(number);
    RequestHistory.check(!connection.dropped, "write to a dropped connection");
    if (!writesCompleteImmediately) {
      pendingWrites.add(number);
    }
    StringBuilder message = new StringBuilder();
    for (ByteBuffer part : parts) {
      message.append(StandardCharsets.ISO_8859_1.decode(part.duplicate()));
    }
    String text = message.toString();
    if (number > 0) {
      recordResponses(number, text);
    }
    if (number > 0 || connection.discoveryPort != 0) {
      connection.received.append(text);
    } else if (text.startsWith("Q")) {
      recordStatement(number, connection, text.substring(HEADER_BYTES));
    } else {
      connection.serverDecoder.feed(ByteBuffer.wrap(message('Z', "I")));
    }
    return writesCompleteImmediately;
  }

  private void recordStatement(long number, FakeConnection connection, String text) {
    RequestHistory.check(connection.statement == null, "second statement on a busy connection");
    connection.statement = text;
    idleTimeBeforeStatement.put(
        number, connection.answeredAt == null ? null : now.minus(connection.answeredAt));
    history.attemptSent(number, text, now);
    if (RequestHistory.idOf(text) != null) {
      onSent.accept(connection.server);
    }
  }

  /**
   * Records the responses in one write. Each ends with ReadyForQuery or with the end of the
   * connection.
   */
  private void recordResponses(long client, String text) {
    for (String response : text.split("(?<=Z\0\0\0\5I)", -1)) {
      if (response.startsWith("T") || response.startsWith("E")) {
        history.responseReceived(client, response, now);
      }
    }
  }

  @Override
  public boolean mayBeDisconnected(long number) {
    return inputBehind.contains(number);
  }

  @Override
  public void setReading(long number, boolean reading) {
    calls.add((reading ? "resumeReading " : "pauseReading ") + number);
  }

  @Override
  public void afterPendingReads(long number) {
    if (!readsDelayed) {
      gateway.defer(() -> gateway.pendingReadsDone(number));
    }
  }

  @Override
  public void closeIfQuiet(long number, int messages) {
    pendingCloses.put(number, messages);
    if (!readsDelayed) {
      gateway.defer(this::decideCloses);
    }
  }

  /** Closes the clients in {@link #pendingCloses} that are quiet; reports all decisions. */
  void decideCloses() {
    Map<Long, Integer> closes = new LinkedHashMap<>(pendingCloses);
    pendingCloses.clear();
    closes.forEach(this::decideClose);
  }

  private void decideClose(long number, int messages) {
    FakeConnection connection = connections.get(number);
    boolean quiet =
        !connection.open
            || (connection.clientDecoder.messageCount() <= messages
                && !connection.clientDecoder.isInMessage());
    connection.open &= !quiet;
    connection.dropped |= quiet;
    gateway.defer(
        () -> {
          gateway.clients().closeDecided(number, quiet);
          // A well-behaved client closes its own side in response.
          if (quiet && !clientsKeepOpen) {
            gateway.clients().disconnected(number);
          }
        });
  }

  @Override
  public void checkMessageIncomplete(long number, int messages) {
    pendingChecks.put(number, messages);
    if (!readsDelayed) {
      gateway.defer(this::decideChecks);
    }
  }

  /** Reports the clients in {@link #pendingChecks} whose message is still incomplete. */
  void decideChecks() {
    Map<Long, Integer> checks = new LinkedHashMap<>(pendingChecks);
    pendingChecks.clear();
    checks.forEach(
        (number, messages) -> {
          FakeConnection connection = connections.get(number);
          if (connection.open && connection.clientDecoder.messageCount() <= messages) {
            gateway.clients().messageIncomplete(number, messages);
          }
        });
  }

  @Override
  public void closeNow(long number) {
    droppedConnections.add(number);
    FakeConnection connection = connections.get(number);
    if (connection == null) {
      return;
    }
    connection.dropped = true;
    connection.open = false;
    history.attemptInterrupted(RequestHistory.idOf(connection.statement), number);
  }

  @Override
  public void closeGracefully(long number) {
    connections.get(number).open = false;
    calls.add("closeGracefully " + number);
  }

  @Override
  public void sendGossip(InetSocketAddress to, byte[] message) {
    calls.add("sendGossip " + to.getPort() + " " + new String(message, StandardCharsets.UTF_8));
  }
}
