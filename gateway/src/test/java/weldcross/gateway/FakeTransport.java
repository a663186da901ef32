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

/**
 * A transport in memory: records what a gateway asks for, has it checked by a {@link
 * RequestHistory}, and answers as the flags say.
 */
abstract class FakeTransport implements Transport {

  private static final int FIRST_SERVER_PORT = 7000;

  /** Length of a message's header: its type and four bytes of length. */
  private static final int HEADER_BYTES = 5;

  final RequestHistory history = new RequestHistory();
  final Map<Long, FakeConnection> connections = new LinkedHashMap<>();

  /** Calls of the transport that have no other trace here, as text. */
  final List<String> calls = new ArrayList<>();

  /** Connections with a write of which the gateway does not know that it is completed. */
  final List<Long> pendingWrites = new ArrayList<>();

  /** How long a server's connection was idle before it carried its statement; null if new. */
  final Map<Long, Duration> idleBefore = new HashMap<>();

  /** Clients that do not take yet what is written to them. */
  final Set<Long> slowReaders = new HashSet<>();

  /** Servers to which no connection comes up. */
  final Set<String> unreachable = new HashSet<>();

  /** Clients to be closed if quiet, with the number of messages known of each. */
  final Map<Long, Integer> pendingCloses = new LinkedHashMap<>();

  /** Clients whose message is to be looked at, with the number of messages known of each. */
  final Map<Long, Integer> pendingChecks = new LinkedHashMap<>();

  /** Connections that were closed, and not only ended from here. */
  final Set<Long> droppedNumbers = new HashSet<>();

  final EventLoop loop = new EventLoop(() -> this.now);

  /** The gateway under test; set before the first event. */
  Gateway gateway;

  /** The clock. */
  Duration now = Duration.ZERO;

  /** The number of the last connection to discovery. */
  long discovery;

  boolean listening;

  /** Whether a write is completed when it is requested, as where nothing is in its way. */
  boolean writesCompleteAtOnce;

  /** Whether the reading thread gets no time: nothing that was received is read. */
  boolean readsDelayed;

  /** Whether clients keep their side open after the gateway has closed its own. */
  boolean clientsKeepOpen;

  /** How long the event under way has lasted when it writes. */
  Duration eventDuration = Duration.ZERO;

  /** Takes the server of each statement as it is sent. */
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
    calls.add("join " + at.getPort());
  }

  @Override
  public void connectToServer(long number, InetSocketAddress to) {
    FakeConnection connection = new FakeConnection();
    connection.server = "s-" + (to.getPort() - FIRST_SERVER_PORT);
    connections.put(number, connection);
    connection.serverDecoder = Streams.server(loop::post, number);
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
  public boolean write(long number, ByteBuffer... parts) {
    FakeConnection connection = connections.get(number);
    RequestHistory.check(!connection.dropped, "written to a connection that was dropped");
    if (!writesCompleteAtOnce) {
      pendingWrites.add(number);
    }
    StringBuilder all = new StringBuilder();
    for (ByteBuffer part : parts) {
      all.append(StandardCharsets.ISO_8859_1.decode(part.duplicate()));
    }
    String text = all.toString();
    if (number > 0) {
      answered(number, text);
    }
    if (number > 0 || connection.discoveryPort != 0) {
      connection.received.append(text);
    } else if (text.startsWith("Q")) {
      connection.serverDecoder.expectResponse();
      sent(number, connection, text.substring(HEADER_BYTES));
    } else {
      connection.serverDecoder.expectResponse();
      connection.serverDecoder.feed(ByteBuffer.wrap(message('Z', "I")));
    }
    return writesCompleteAtOnce;
  }

  private void sent(long number, FakeConnection connection, String text) {
    RequestHistory.check(connection.statement == null, "a second statement on a busy connection");
    connection.statement = text;
    idleBefore.put(number, connection.answeredAt == null ? null : now.minus(connection.answeredAt));
    history.attemptSent(number, text, now);
    if (RequestHistory.idOf(text) != null) {
      onSent.accept(connection.server);
    }
  }

  /**
   * Several answers may be written as one; each ends with ReadyForQuery, or with the connection.
   */
  private void answered(long client, String text) {
    for (String one : text.split("(?<=Z\0\0\0\5I)", -1)) {
      if (one.startsWith("T") || one.startsWith("E")) {
        history.responseReceived(client, one, now);
      }
    }
  }

  @Override
  public void setReading(long number, boolean on) {
    calls.add((on ? "read " : "hold ") + number);
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

  /** All that was received by now is read: whichever client sent nothing more is closed. */
  void decideCloses() {
    Map<Long, Integer> all = new LinkedHashMap<>(pendingCloses);
    pendingCloses.clear();
    all.forEach(this::decideClose);
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
          // A usual client closes its own side then.
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

  /** All that was received by now is read: whoever has not ended its message is reported. */
  void decideChecks() {
    Map<Long, Integer> all = new LinkedHashMap<>(pendingChecks);
    pendingChecks.clear();
    all.forEach(
        (number, messages) -> {
          FakeConnection connection = connections.get(number);
          if (connection.open && connection.clientDecoder.messageCount() <= messages) {
            gateway.clients().messageIncomplete(number, messages);
          }
        });
  }

  @Override
  public void closeNow(long number) {
    droppedNumbers.add(number);
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
    calls.add("finish " + number);
  }

  @Override
  public void sendGossip(InetSocketAddress to, byte[] message) {
    calls.add("tell " + to.getPort() + " " + new String(message, StandardCharsets.UTF_8));
  }
}
