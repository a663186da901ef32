package weldcross.pgwire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.pgwire.WireMessages.COLUMNS;
import static weldcross.pgwire.WireMessages.bytes;
import static weldcross.pgwire.WireMessages.message;
import static weldcross.pgwire.WireMessages.pieces;
import static weldcross.pgwire.WireMessages.row;
import static weldcross.pgwire.WireMessages.served;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServerMessageDecoderTest {

  /** Records what a server sent, as text. */
  private static final class Server implements ServerMessageDecoder.Sink {
    final List<String> events = new ArrayList<>();
    final List<ServerResponse> responses = new ArrayList<>();
    final ServerMessageDecoder decoder = new ServerMessageDecoder(this);

    /** A server whose session is open and that answers a request by these bytes, in pieces. */
    static Server answering(byte[] stream, SplittableRandom random) {
      Server server = new Server();
      server.decoder.expectResponse();
      server.decoder.feed(
          ByteBuffer.wrap(
              bytes(
                  message('R', "\0\0\0\0"),
                  message('S', "server_version\0" + "14\0"),
                  message('Z', "I"))));
      server.receive(stream, random);
      return server;
    }

    void receive(byte[] stream, SplittableRandom random) {
      decoder.expectResponse();
      pieces(stream, random).forEach(decoder::feed);
    }

    /** The values that a client would get. */
    List<String> servedValues() {
      return responses.stream()
          .filter(a -> a.isComplete("SELECT 1"))
          .map(ServerResponse::rowText)
          .toList();
    }

    @Override
    public void ready() {
      events.add("ready");
    }

    @Override
    public void responseReceived(ServerResponse response, boolean hasTrailingBytes) {
      responses.add(response);
      events.add(
          response.isComplete("SELECT 1")
              + " "
              + response.sqlState()
              + " "
              + response.rowText()
              + " "
              + response.primary()
              + " "
              + response.positionMillis()
              + (hasTrailingBytes ? " more" : ""));
    }

    @Override
    public void responseStarted() {
      events.add("started");
    }

    @Override
    public void protocolError(String reason) {
      events.add("error");
    }
  }

  @Test
  void streamDecodesTheSameInPiecesOfAnySize() {
    byte[] refused =
        bytes(
            message('E', "SERROR\0C25006\0Mno\0\0"),
            message('S', "mode\0read-only\0"),
            message('Z', "I"));
    for (long seed = -1; seed < 200; seed++) {
      SplittableRandom random = seed < 0 ? null : new SplittableRandom(seed);
      Server server = Server.answering(served("value"), random);
      server.receive(refused, random);
      server.receive(served("x0=12.5,x1=1"), random);
      server.events.removeIf("started"::equals);
      assertEquals(
          List.of(
              "ready",
              "true null value true 1767225600123",
              "false 25006  false 0",
              "true null x0=12.5,x1=1 true 1767225600123"),
          server.events,
          "seed " + seed);
    }
  }

  @Test
  void rowIsPassedOnUnchangedWithoutParameters() {
    Server server = Server.answering(served("v\0w"), null);
    assertArrayEquals(
        bytes(message('T', COLUMNS), row("v\0w"), message('C', "SELECT 1\0"), message('Z', "I")),
        bytes(server.responses.get(0).toClientMessages()));
  }

  /**
   * Whatever a stream is changed to, in pieces of any size, no value but the one sent is served.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void brokenStreamServesNoOtherValue(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int round = 0; round < 3000; round++) {
      byte[] stream = served("value");
      byte[] noise = new byte[1 + random.nextInt(40)];
      random.nextBytes(noise);
      int at = random.nextInt(stream.length);
      switch (random.nextInt(4)) {
        case 0 -> {
          // The length of some message, or of the row's value, is another.
          int[] lengths = {1, 34, 40, 50, 64};
          ByteBuffer.wrap(stream)
              .putInt(
                  lengths[random.nextInt(5)],
                  random.nextInt(3) == 0 ? random.nextInt() : random.nextInt(70) - 3);
        }
        case 1 -> stream = bytes(Arrays.copyOf(stream, at), noise);
        case 2 -> stream = bytes(stream, noise);
        default -> stream = bytes(stream, served("other"));
      }
      Server server = Server.answering(stream, random);
      assertTrue(
          server.servedValues().isEmpty() || server.servedValues().equals(List.of("value")),
          server.events.toString());
      boolean broken =
          server.events.stream().anyMatch(w -> w.equals("error") || w.endsWith("more"));
      if (broken || !server.servedValues().isEmpty()) {
        server.receive(served("next"), random);
        assertEquals(!broken, server.servedValues().contains("next"), server.events.toString());
      }
    }
  }

  @Test
  void trailingBytesEndStreamAndKeepResponse() {
    for (byte[] behind :
        List.of(served("value"), new byte[] {'T'}, message('Z', "I"), new byte[9])) {
      Server server = Server.answering(bytes(served("value"), behind), null);
      assertEquals(List.of("ready", "true null value true 1767225600123 more"), server.events);
      Server later = Server.answering(served("value"), null);
      later.decoder.feed(ByteBuffer.wrap(behind));
      assertEquals("error", later.events.get(2), "bytes that nobody asked for");
    }
  }

  @Test
  void invalidResponseIsRejectedBeforeItIsWhole() {
    byte[] columns = message('T', COLUMNS);
    byte[] wrongValueLength =
        ByteBuffer.allocate(11)
            .put((byte) 'D')
            .putInt(100_000)
            .putShort((short) 1)
            .putInt(Integer.MAX_VALUE)
            .array();
    byte[] text = ByteBuffer.allocate(5).put((byte) 'C').putInt(100_000).array();
    byte[] row = ByteBuffer.allocate(5).put((byte) 'D').putInt(9).array();
    for (byte[] head :
        List.of(wrongValueLength, text, row, new byte[5], bytes(row("v"), row("v")))) {
      assertEquals("error", Server.answering(bytes(columns, head), null).events.get(1));
    }
    assertEquals(
        List.of("ready", "started"),
        Server.answering(columns, null).events,
        "the rest is still to come");
  }

  @Test
  void unreadableParameterIsIgnored() {
    for (String text :
        List.of(
            "wal_time\0soon\0",
            "wal_time\0" + "99999999999999999999\0",
            "stats",
            "mode\0",
            "mode\0neither\0",
            "\0\0\0\0")) {
      Server server =
          Server.answering(
              bytes(
                  message('T', COLUMNS),
                  row("v"),
                  message('C', "SELECT 1\0"),
                  message('S', "mode\0read-only\0"),
                  message('S', text),
                  message('Z', "I")),
              null);
      assertEquals(List.of("ready", "true null v false 0"), server.events, text);
    }
  }
}
