package weldcross.pgwire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.pgwire.WireMessages.READ;
import static weldcross.pgwire.WireMessages.bytes;
import static weldcross.pgwire.WireMessages.fragments;
import static weldcross.pgwire.WireMessages.message;
import static weldcross.pgwire.WireMessages.query;
import static weldcross.pgwire.WireMessages.startup;
import static weldcross.pgwire.WireMessages.text;
import static weldcross.pgwire.WireMessages.untyped;
import static weldcross.pgwire.WireMessages.write;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClientMessageDecoderTest {

  private static final int CANCEL_REQUEST = 80877102;
  private static final int SSL_REQUEST = 80877103;
  private static final int GSSENC_REQUEST = 80877104;
  private static final int PROTOCOL_VERSION_2 = 2 << 16;

  /** More bytes than the header of a query, fewer than the query. */
  private static final int FRAGMENT_SIZE = 9;

  /** Timeout for encoding a decoded statement; its value does not matter. */
  private static final int ANY_TIMEOUT_MILLIS = 77;

  /** Records the decoded messages as text; of an encoded statement only the hash, to be short. */
  private static final class RecordingSink implements ClientMessageDecoder.Sink {
    final List<String> events = new ArrayList<>();
    int startedMessages;
    int maxQuerySize = Integer.MAX_VALUE;

    @Override
    public boolean admitQuery(int size) {
      return size <= maxQuerySize;
    }

    @Override
    public void queryDiscarded() {
      events.add("discarded");
    }

    @Override
    public void encryptionRequested() {
      events.add("encryption");
    }

    @Override
    public void startupReceived() {
      events.add("startup");
    }

    @Override
    public void statementReceived(Statement statement) {
      events.add(
          "statement "
              + statement.id()
              + " "
              + statement.key()
              + " "
              + statement.isWrite()
              + " "
              + text(statement.withTimeout(ANY_TIMEOUT_MILLIS)).hashCode());
    }

    @Override
    public void emptyQueryReceived() {
      events.add("empty");
    }

    @Override
    public void statementRejected(String sqlState, String message) {
      events.add("rejected " + sqlState);
    }

    @Override
    public void messageStarted() {
      startedMessages++;
    }

    @Override
    public void protocolError(String sqlState, String message) {
      events.add("error " + sqlState);
    }

    @Override
    public void terminated() {
      events.add("terminated");
    }

    @Override
    public void cancelRequested(int processId, int secretKey) {
      events.add("cancel " + processId + " " + secretKey);
    }
  }

  /** A cancel request is the only message of its connection. */
  @Test
  void cancelRequestIsDecodedOnlyIfComplete() {
    byte[] cancel =
        ByteBuffer.allocate(16).putInt(16).putInt(CANCEL_REQUEST).putInt(7).putInt(-9).array();
    assertEquals(List.of("cancel 7 -9"), decode(bytes(cancel, query("")), null));
    assertEquals(List.of("cancel 7 -9"), decode(cancel, new SplittableRandom(1)));
    assertEquals(
        List.of("terminated"),
        decode(untyped(CANCEL_REQUEST), null),
        "no process ID and secret key");
  }

  @Test
  void decodingDoesNotDependOnFragmentation() {
    byte[] stream =
        bytes(
            untyped(SSL_REQUEST),
            untyped(GSSENC_REQUEST),
            startup(),
            query(READ),
            query(""),
            query(READ),
            query("SELECT 1"),
            query(write("00ff".repeat(30_000))),
            message('X', ""));
    List<String> unfragmented = decode(stream, null);
    assertEquals(List.of("encryption", "encryption", "startup"), unfragmented.subList(0, 3));
    assertEquals(
        List.of("empty", "rejected 42601", "terminated"),
        List.of(unfragmented.get(4), unfragmented.get(6), unfragmented.get(8)));
    for (long seed = 0; seed < 200; seed++) {
      assertEquals(unfragmented, decode(stream, new SplittableRandom(seed)), "seed " + seed);
    }
  }

  /** A message that is not to be held is skipped, however it arrives; those around it are not. */
  @Test
  void queryThatIsNotAdmittedIsDiscarded() {
    byte[] stream =
        bytes(
            startup(),
            query(READ),
            query(write("00ff".repeat(30_000))),
            query(write("0a".repeat(500))),
            query(READ),
            message('X', ""));
    for (long seed = 0; seed < 200; seed++) {
      RecordingSink sink = new RecordingSink();
      sink.maxQuerySize = 800;
      ClientMessageDecoder decoder = new ClientMessageDecoder(sink);
      for (ByteBuffer fragment : fragments(stream, new SplittableRandom(seed))) {
        decoder.feed(fragment);
      }
      List<String> kinds = sink.events.stream().map(event -> event.split(" ", -1)[0]).toList();
      assertEquals(
          List.of("startup", "statement", "discarded", "discarded", "statement", "terminated"),
          kinds,
          "seed " + seed);
      assertEquals(6, decoder.messageCount());
    }
  }

  /** Guards against memory for the body of a message of which the header already tells the end. */
  @Test
  void unsupportedMessageIsRejectedByItsHeader() {
    byte[] header = ByteBuffer.allocate(5).put((byte) 'P').putInt(130_000).array();
    assertEquals(List.of("startup", "error 0A000"), decode(bytes(startup(), header), null));
  }

  @Test
  void startedMessageIsReportedOnce() {
    RecordingSink sink = new RecordingSink();
    ClientMessageDecoder decoder = new ClientMessageDecoder(sink);
    decoder.feed(ByteBuffer.wrap(startup()));
    assertEquals(0, sink.startedMessages);
    for (int offset = 0; offset < FRAGMENT_SIZE; offset++) {
      decoder.feed(ByteBuffer.wrap(query(READ), offset, 1));
    }
    assertEquals(1, sink.startedMessages);
    decoder.feed(ByteBuffer.wrap(query(READ), FRAGMENT_SIZE, query(READ).length - FRAGMENT_SIZE));
    decoder.feed(ByteBuffer.wrap(query(READ), 0, 50));
    assertEquals(2, sink.startedMessages);
  }

  /** Each message of a corrupted stream is either decoded or rejected with an error. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void corruptedStreamCausesOnlyMessagesAndErrors(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    byte[] valid = bytes(startup(), query(READ), query(write("00ff")), query(READ));
    for (int round = 0; round < 3000; round++) {
      byte[] stream = valid.clone();
      for (int changes = random.nextInt(3); changes >= 0; changes--) {
        int offset = random.nextInt(stream.length);
        if (random.nextInt(3) == 0) {
          ByteBuffer.wrap(stream).putInt(Math.min(offset, stream.length - 4), random.nextInt());
        } else if (random.nextBoolean()) {
          stream[offset] = (byte) random.nextInt(256);
        } else {
          stream =
              bytes(
                  Arrays.copyOf(stream, offset),
                  Arrays.copyOfRange(valid, random.nextInt(valid.length), valid.length));
        }
      }
      for (String event : decode(stream, random)) {
        assertTrue(
            event.matches(
                "startup|encryption|empty|terminated|(rejected|error) \\w{5}|statement .*"),
            event);
      }
    }
  }

  @Test
  void protocolViolationEndsStream() {
    byte[] tooLong =
        ByteBuffer.allocate(5).put((byte) 'Q').putInt(FrameDecoder.MAX_LENGTH + 1).array();
    byte[] tooShort = ByteBuffer.allocate(5).put((byte) 'Q').putInt(3).array();
    for (byte[] invalid : List.of(tooLong, tooShort, message('?', ""))) {
      assertEquals(
          List.of("startup", "error 08P01"), decode(bytes(startup(), invalid, query(READ)), null));
    }
    for (char extended : "PBDECHSF".toCharArray()) {
      assertEquals(
          List.of("startup", "error 0A000"),
          decode(bytes(startup(), message(extended, "\0")), null));
    }
    assertEquals(List.of("error 0A000"), decode(untyped(PROTOCOL_VERSION_2), null));
    assertEquals(List.of("terminated"), decode(untyped(CANCEL_REQUEST), null));
    assertEquals(List.of("error 08P01"), decode(new byte[] {0, 0, 0, 4}, null));
  }

  private static List<String> decode(byte[] stream, SplittableRandom random) {
    RecordingSink sink = new RecordingSink();
    ClientMessageDecoder decoder = new ClientMessageDecoder(sink);
    for (ByteBuffer fragment : fragments(stream, random)) {
      decoder.feed(fragment);
    }
    return sink.events;
  }
}
