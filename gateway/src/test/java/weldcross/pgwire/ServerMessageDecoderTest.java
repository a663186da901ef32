package weldcross.pgwire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.pgwire.WireMessages.COLUMNS;
import static weldcross.pgwire.WireMessages.bytes;
import static weldcross.pgwire.WireMessages.fragments;
import static weldcross.pgwire.WireMessages.message;
import static weldcross.pgwire.WireMessages.readResponse;
import static weldcross.pgwire.WireMessages.row;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServerMessageDecoderTest {

  /** Records the decoded responses as text. */
  private static final class RecordingSink implements ServerMessageDecoder.Sink {
    final List<String> events = new ArrayList<>();
    final List<ServerResponse> responses = new ArrayList<>();
    final ServerMessageDecoder decoder = new ServerMessageDecoder(this);

    /** Returns a sink whose decoder has opened a session and received a response in fragments. */
    static RecordingSink receiving(byte[] stream, SplittableRandom random) {
      RecordingSink sink = new RecordingSink();
      sink.decoder.expectResponse();
      sink.decoder.feed(
          ByteBuffer.wrap(
              bytes(
                  message('R', "\0\0\0\0"),
                  message('S', "server_version\0" + "14\0"),
                  message('Z', "I"))));
      sink.receive(stream, random);
      return sink;
    }

    void receive(byte[] stream, SplittableRandom random) {
      decoder.expectResponse();
      fragments(stream, random).forEach(decoder::feed);
    }

    /** Returns the values that would be forwarded to clients. */
    List<String> forwardedValues() {
      return responses.stream()
          .filter(response -> response.isComplete("SELECT 1"))
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
              + (hasTrailingBytes ? " trailing" : ""));
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
  void decodingDoesNotDependOnFragmentation() {
    byte[] errorResponse =
        bytes(
            message('E', "SERROR\0C25006\0Mno\0\0"),
            message('S', "mode\0read-only\0"),
            message('Z', "I"));
    for (long seed = -1; seed < 200; seed++) {
      SplittableRandom random = seed < 0 ? null : new SplittableRandom(seed);
      RecordingSink sink = RecordingSink.receiving(readResponse("value"), random);
      sink.receive(errorResponse, random);
      sink.receive(readResponse("x0=12.5,x1=1"), random);
      sink.events.removeIf("started"::equals);
      assertEquals(
          List.of(
              "ready",
              "true null value true 1767225600123",
              "false 25006  false 0",
              "true null x0=12.5,x1=1 true 1767225600123"),
          sink.events,
          "seed " + seed);
    }
  }

  @Test
  void rowIsForwardedUnchangedWithoutParameters() {
    RecordingSink sink = RecordingSink.receiving(readResponse("v\0w"), null);
    assertArrayEquals(
        bytes(message('T', COLUMNS), row("v\0w"), message('C', "SELECT 1\0"), message('Z', "I")),
        bytes(sink.responses.get(0).toClientMessages()));
  }

  /** No corruption of a stream leads to a value other than the one sent. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void corruptedStreamYieldsNoOtherValue(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int round = 0; round < 3000; round++) {
      byte[] stream = readResponse("value");
      byte[] garbage = new byte[1 + random.nextInt(40)];
      random.nextBytes(garbage);
      int offset = random.nextInt(stream.length);
      switch (random.nextInt(4)) {
        case 0 -> {
          // Changes the length field of a message or of the value of the row.
          int[] lengths = {1, 34, 40, 50, 64};
          ByteBuffer.wrap(stream)
              .putInt(
                  lengths[random.nextInt(5)],
                  random.nextInt(3) == 0 ? random.nextInt() : random.nextInt(70) - 3);
        }
        case 1 -> stream = bytes(Arrays.copyOf(stream, offset), garbage);
        case 2 -> stream = bytes(stream, garbage);
        default -> stream = bytes(stream, readResponse("other"));
      }
      RecordingSink sink = RecordingSink.receiving(stream, random);
      assertTrue(
          sink.forwardedValues().isEmpty() || sink.forwardedValues().equals(List.of("value")),
          sink.events.toString());
      boolean unusable =
          sink.events.stream()
              .anyMatch(event -> event.equals("error") || event.endsWith("trailing"));
      if (unusable || !sink.forwardedValues().isEmpty()) {
        sink.receive(readResponse("next"), random);
        assertEquals(!unusable, sink.forwardedValues().contains("next"), sink.events.toString());
      }
    }
  }

  @Test
  void trailingBytesEndStreamButKeepResponse() {
    for (byte[] trailing :
        List.of(readResponse("value"), new byte[] {'T'}, message('Z', "I"), new byte[9])) {
      RecordingSink sink = RecordingSink.receiving(bytes(readResponse("value"), trailing), null);
      assertEquals(List.of("ready", "true null value true 1767225600123 trailing"), sink.events);
      RecordingSink laterSink = RecordingSink.receiving(readResponse("value"), null);
      laterSink.decoder.feed(ByteBuffer.wrap(trailing));
      assertEquals("error", laterSink.events.get(2), "unsolicited bytes");
    }
  }

  @Test
  void invalidResponseIsRejectedBeforeItIsComplete() {
    byte[] columns = message('T', COLUMNS);
    byte[] wrongValueLength =
        ByteBuffer.allocate(11)
            .put((byte) 'D')
            .putInt(100_000)
            .putShort((short) 1)
            .putInt(Integer.MAX_VALUE)
            .array();
    byte[] commandTooLong = ByteBuffer.allocate(5).put((byte) 'C').putInt(100_000).array();
    byte[] rowTooShort = ByteBuffer.allocate(5).put((byte) 'D').putInt(9).array();
    for (byte[] invalid :
        List.of(
            wrongValueLength,
            commandTooLong,
            rowTooShort,
            new byte[5],
            bytes(row("v"), row("v")))) {
      assertEquals("error", RecordingSink.receiving(bytes(columns, invalid), null).events.get(1));
    }
    assertEquals(
        List.of("ready", "started"),
        RecordingSink.receiving(columns, null).events,
        "the rest of the response is pending");
  }

  @Test
  void invalidParameterIsIgnored() {
    for (String parameter :
        List.of(
            "wal_time\0soon\0",
            "wal_time\0" + "99999999999999999999\0",
            "stats",
            "mode\0",
            "mode\0neither\0",
            "\0\0\0\0")) {
      RecordingSink sink =
          RecordingSink.receiving(
              bytes(
                  message('T', COLUMNS),
                  row("v"),
                  message('C', "SELECT 1\0"),
                  message('S', "mode\0read-only\0"),
                  message('S', parameter),
                  message('Z', "I")),
              null);
      assertEquals(List.of("ready", "true null v false 0"), sink.events, parameter);
    }
  }

  /** Records what is accounted for, and admits no row. */
  private static final class NoRows implements ResponseAccount {
    int addedBytes;

    @Override
    public void add(int bytes) {
      addedBytes += bytes;
    }

    @Override
    public boolean admitRow(int bytes) {
      return false;
    }

    @Override
    public boolean admitWaiting() {
      return false;
    }

    @Override
    public void stopWaiting() {}

    @Override
    public void release() {
      addedBytes = 0;
    }
  }

  /** A row that may not be held is discarded, and the connection can be used for the next one. */
  @Test
  void rowThatIsNotAdmittedIsDiscarded() {
    byte[] response = readResponse("v".repeat(200));
    RecordingSink sink = RecordingSink.receiving(response, new SplittableRandom(1));
    NoRows memory = new NoRows();
    sink.decoder.expectResponse(memory);
    fragments(response, new SplittableRandom(2)).forEach(sink.decoder::feed);
    ServerResponse discarded = sink.responses.get(1);
    assertTrue(discarded.isRowDiscarded() && discarded.isComplete("SELECT 1"));
    assertTrue(memory.addedBytes > 0 && memory.addedBytes < 100, memory.addedBytes + " bytes");
    discarded.release();
    assertEquals(0, memory.addedBytes);
    sink.receive(response, new SplittableRandom(3));
    assertEquals("v".repeat(200), sink.responses.get(2).rowText());
  }
}
