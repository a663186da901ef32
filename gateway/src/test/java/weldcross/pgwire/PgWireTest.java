package weldcross.pgwire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PgWireTest {

  private static final String READ =
      "SELECT content FROM kv WHERE name = '7f3a' "
          + "/* id=9b1f,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */";

  private static final String COLUMNS = "\0\1content\0" + "\0".repeat(18);

  /** What a client said, in words. */
  private static final class Heard implements ClientMessageDecoder.Sink {
    final List<String> words = new ArrayList<>();
    int begun;

    @Override
    public void encryptionRequested() {
      words.add("encryption");
    }

    @Override
    public void startupReceived() {
      words.add("started");
    }

    @Override
    public void statementReceived(Statement s) {
      words.add(
          "asked "
              + s.id()
              + " "
              + s.key()
              + " "
              + s.isWrite()
              + " "
              + text(s.withTimeout(77)).hashCode());
    }

    @Override
    public void emptyQueryReceived() {
      words.add("nothing");
    }

    @Override
    public void statementRejected(String state, String text) {
      words.add("wrong " + state);
    }

    @Override
    public void messageStarted() {
      begun++;
    }

    @Override
    public void protocolError(String state, String text) {
      words.add("broke " + state);
    }

    @Override
    public void terminated() {
      words.add("ended");
    }

    @Override
    public void cancelRequested(int process, int secret) {
      words.add("cancel " + process + " " + secret);
    }
  }

  /** A request to cancel names whom it cancels, and is all that its connection says. */
  @Test
  void requestToCancelIsReadWholeOrNotAtAll() {
    byte[] cancel =
        ByteBuffer.allocate(16).putInt(16).putInt(80877102).putInt(7).putInt(-9).array();
    assertEquals(List.of("cancel 7 -9"), hear(bytes(cancel, query("")), null));
    assertEquals(List.of("cancel 7 -9"), hear(cancel, new SplittableRandom(1)));
    assertEquals(List.of("ended"), hear(untyped(80877102), null), "it names nobody");
  }

  @Test
  void clientsStreamReadsTheSameInPiecesOfAnySize() {
    byte[] stream =
        bytes(
            untyped(80877103),
            untyped(80877104),
            start(),
            query(READ),
            query(""),
            query(READ),
            query("SELECT 1"),
            query(write("00ff".repeat(30_000))),
            message('X', ""));
    List<String> whole = hear(stream, null);
    assertEquals(List.of("encryption", "encryption", "started"), whole.subList(0, 3));
    assertEquals(
        List.of("nothing", "wrong 42601", "ended"),
        List.of(whole.get(4), whole.get(6), whole.get(8)));
    for (long seed = 0; seed < 200; seed++) {
      assertEquals(whole, hear(stream, new SplittableRandom(seed)), "seed " + seed);
    }
  }

  /** What a server said, in words; asked again as soon as it has answered, unless there is more. */
  private static final class Told implements ServerMessageDecoder.Sink {
    final List<String> words = new ArrayList<>();
    final List<ServerResponse> answers = new ArrayList<>();
    final ServerMessageDecoder reader = new ServerMessageDecoder(this);

    /** Welcomed, asked, and told these bytes in pieces. */
    static Told of(byte[] stream, SplittableRandom random) {
      Told told = new Told();
      told.reader.expectResponse();
      told.reader.feed(
          ByteBuffer.wrap(
              bytes(
                  message('R', "\0\0\0\0"),
                  message('S', "server_version\0" + "14\0"),
                  message('Z', "I"))));
      told.hear(stream, random);
      return told;
    }

    void hear(byte[] stream, SplittableRandom random) {
      reader.expectResponse();
      pieces(stream, random).forEach(reader::feed);
    }

    /** What was passed on as served; nothing of a row that cannot be told to be whole may be. */
    List<String> served() {
      return answers.stream()
          .filter(a -> a.isComplete("SELECT 1"))
          .map(ServerResponse::rowText)
          .toList();
    }

    @Override
    public void ready() {
      words.add("ready");
    }

    @Override
    public void responseReceived(ServerResponse a, boolean more) {
      answers.add(a);
      words.add(
          a.isComplete("SELECT 1")
              + " "
              + a.sqlState()
              + " "
              + a.rowText()
              + " "
              + a.primary()
              + " "
              + a.positionMillis()
              + (more ? " more" : ""));
    }

    @Override
    public void responseStarted() {
      words.add("begun");
    }

    @Override
    public void protocolError(String why) {
      words.add("spoilt");
    }
  }

  @Test
  void serversStreamReadsTheSameInPiecesOfAnySize() {
    byte[] refused =
        bytes(
            message('E', "SERROR\0C25006\0Mno\0\0"),
            message('S', "mode\0read-only\0"),
            message('Z', "I"));
    for (long seed = -1; seed < 200; seed++) {
      SplittableRandom random = seed < 0 ? null : new SplittableRandom(seed);
      Told told = Told.of(served("value"), random);
      told.hear(refused, random);
      told.hear(served("x0=12.5,x1=1"), random);
      told.words.removeIf("begun"::equals);
      assertEquals(
          List.of(
              "ready",
              "true null value true 1767225600123",
              "false 25006  false 0",
              "true null x0=12.5,x1=1 true 1767225600123"),
          told.words,
          "seed " + seed);
    }
  }

  @Test
  void rowPassesUntouchedWithoutTheServersOwnParameters() {
    Told told = Told.of(served("v\0w"), null);
    assertArrayEquals(
        bytes(message('T', COLUMNS), row("v\0w"), message('C', "SELECT 1\0"), message('Z', "I")),
        bytes(told.answers.get(0).toClientMessages()));
  }

  /**
   * Whatever a server's stream turns into, in pieces of any size, no value but the one sent is
   * served.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void spoiltStreamServesNothingButItsValue(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int life = 0; life < 3000; life++) {
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
      Told told = Told.of(stream, random);
      assertTrue(
          told.served().isEmpty() || told.served().equals(List.of("value")), told.words.toString());
      boolean spoilt = told.words.stream().anyMatch(w -> w.equals("spoilt") || w.endsWith("more"));
      if (spoilt || !told.served().isEmpty()) {
        told.hear(served("next"), random);
        assertEquals(!spoilt, told.served().contains("next"), told.words.toString());
      }
    }
  }

  @Test
  void bytesBehindAnAnswerEndItsStreamAndNotTheAnswer() {
    for (byte[] behind :
        List.of(served("value"), new byte[] {'T'}, message('Z', "I"), new byte[9])) {
      Told told = Told.of(bytes(served("value"), behind), null);
      assertEquals(List.of("ready", "true null value true 1767225600123 more"), told.words);
      Told later = Told.of(served("value"), null);
      later.reader.feed(ByteBuffer.wrap(behind));
      assertEquals("spoilt", later.words.get(2), "bytes that nobody asked for");
    }
  }

  @Test
  void whatCannotBeAnAnswerIsToldBeforeItIsWhole() {
    byte[] columns = message('T', COLUMNS);
    byte[] long3 =
        ByteBuffer.allocate(11)
            .put((byte) 'D')
            .putInt(100_000)
            .putShort((short) 1)
            .putInt(Integer.MAX_VALUE)
            .array();
    byte[] text = ByteBuffer.allocate(5).put((byte) 'C').putInt(100_000).array();
    byte[] row = ByteBuffer.allocate(5).put((byte) 'D').putInt(9).array();
    for (byte[] head : List.of(long3, text, row, new byte[5], bytes(row("v"), row("v")))) {
      assertEquals("spoilt", Told.of(bytes(columns, head), null).words.get(1));
    }
    assertEquals(
        List.of("ready", "begun"), Told.of(columns, null).words, "the rest is still to come");
  }

  @Test
  void parameterThatCannotBeReadSpoilsNothing() {
    for (String text :
        List.of(
            "wal_time\0soon\0",
            "wal_time\0" + "99999999999999999999\0",
            "stats",
            "mode\0",
            "mode\0neither\0",
            "\0\0\0\0")) {
      Told told =
          Told.of(
              bytes(
                  message('T', COLUMNS),
                  row("v"),
                  message('C', "SELECT 1\0"),
                  message('S', "mode\0read-only\0"),
                  message('S', text),
                  message('Z', "I")),
              null);
      assertEquals(List.of("ready", "true null v false 0"), told.words, text);
    }
  }

  @Test
  void onlyTheWaitIsWrittenAnew() throws ProtocolException {
    for (String text : List.of(READ, write("9f03"))) {
      Statement s = Statement.read(ByteBuffer.wrap(query(text)));
      for (long wait : new long[] {1, 480, 123_456}) {
        assertEquals(
            new String(query(text.replace("d=480", "d=" + wait)), StandardCharsets.ISO_8859_1),
            text(s.withTimeout(wait)));
      }
    }
  }

  @Test
  void headIsReadInPlace() throws ProtocolException {
    Statement s = Statement.read(ByteBuffer.wrap(query(READ)));
    assertEquals(
        List.of("9b1f", "basket", "acme", "7f3a"),
        List.of(s.id(), s.requestClass(), s.tenant(), s.key()));
    assertEquals(
        List.of(2L, 480L, 1767225600123L),
        List.of((long) s.group(), s.timeoutMillis(), s.lastWriteMillis()));
    assertFalse(s.isWrite() || s.isRetry());
    assertTrue(
        Statement.read(ByteBuffer.wrap(query(READ.replace("d=480", "r=1,d=480")))).isRetry());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "id=9b1f,||22023",
        "id=9b1f|id=|22023",
        "id=9b1f|id=9b1f,id=9b1f|22023",
        "c=basket,||22023",
        "d=480|d=soon|22023",
        "d=480|d=-1|22023",
        "d=480|d=99999999999|22023",
        "d=480|d=480,d=480|22023",
        "cluster=2|cluster=x|22023",
        ",cluster=2||22023",
        "after=1767225600123|after=new|22023",
        "'7f3a'|''|42601",
        "'7f3a'|'7f''3a'|42601",
        "'7f3a'|'7f\\3a'|42601",
        "name =|name|42601",
        "SELECT|select|42601",
        "kv|kw|42601",
        "/*|--|42601",
        "*/|*/;|42601",
        "*/||42601",
        "*/|*/ /* x=1 */|42601",
        "t=acme|t=ac*/me|22023"
      })
  void statementThatIsNotOfTheFormIsTurnedAway(String part, String instead, String state) {
    String text = READ.replace(part, instead == null ? "" : instead);
    ProtocolException fault =
        assertThrows(ProtocolException.class, () -> Statement.read(ByteBuffer.wrap(query(text))));
    assertEquals(state, fault.sqlState(), text);
  }

  @ParameterizedTest
  @ValueSource(strings = {"9f0", "9g", "9f03 "})
  void valueMustBeHex(String hex) {
    assertThrows(ProtocolException.class, () -> Statement.read(ByteBuffer.wrap(query(write(hex)))));
  }

  @Test
  void messageWithoutItsEndIsToldOnce() {
    Heard heard = new Heard();
    ClientMessageDecoder reader = new ClientMessageDecoder(heard);
    reader.feed(ByteBuffer.wrap(start()));
    assertEquals(0, heard.begun);
    for (int k = 0; k < 9; k++) {
      reader.feed(ByteBuffer.wrap(query(READ), k, 1));
    }
    assertEquals(1, heard.begun);
    reader.feed(ByteBuffer.wrap(query(READ), 9, query(READ).length - 9));
    reader.feed(ByteBuffer.wrap(query(READ), 0, 50));
    assertEquals(2, heard.begun);
  }

  /**
   * Whatever a client sends, each statement is read as it is, or an error tells that it cannot be.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void noiseIsNeverTakenForAStatement(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    byte[] good = bytes(start(), query(READ), query(write("00ff")), query(READ));
    for (int life = 0; life < 3000; life++) {
      byte[] stream = good.clone();
      for (int n = random.nextInt(3); n >= 0; n--) {
        int at = random.nextInt(stream.length);
        if (random.nextInt(3) == 0) {
          ByteBuffer.wrap(stream).putInt(Math.min(at, stream.length - 4), random.nextInt());
        } else if (random.nextBoolean()) {
          stream[at] = (byte) random.nextInt(256);
        } else {
          stream =
              bytes(
                  Arrays.copyOf(stream, at),
                  Arrays.copyOfRange(good, random.nextInt(good.length), good.length));
        }
      }
      for (String word : hear(stream, random)) {
        assertTrue(
            word.matches("started|encryption|nothing|ended|(wrong|broke) \\w{5}|asked .*"), word);
      }
    }
  }

  @Test
  void whatCannotBeReadOnEndsTheStream() {
    byte[] tooLong =
        ByteBuffer.allocate(5).put((byte) 'Q').putInt(FrameDecoder.MAX_LENGTH + 1).array();
    byte[] tooShort = ByteBuffer.allocate(5).put((byte) 'Q').putInt(3).array();
    for (byte[] bad : List.of(tooLong, tooShort, message('?', ""))) {
      assertEquals(List.of("started", "broke 08P01"), hear(bytes(start(), bad, query(READ)), null));
    }
    for (char extended : "PBDECHSF".toCharArray()) {
      assertEquals(
          List.of("started", "broke 0A000"), hear(bytes(start(), message(extended, "\0")), null));
    }
    assertEquals(List.of("broke 0A000"), hear(untyped(2 << 16), null));
    assertEquals(List.of("ended"), hear(untyped(80877102), null));
    assertEquals(List.of("broke 08P01"), hear(new byte[] {0, 0, 0, 4}, null));
  }

  private static List<String> hear(byte[] stream, SplittableRandom random) {
    Heard heard = new Heard();
    ClientMessageDecoder reader = new ClientMessageDecoder(heard);
    for (ByteBuffer piece : pieces(stream, random)) {
      reader.feed(piece);
    }
    return heard.words;
  }

  private static List<ByteBuffer> pieces(byte[] stream, SplittableRandom random) {
    List<ByteBuffer> pieces = new ArrayList<>();
    for (int from = 0; from < stream.length; ) {
      int most = stream.length - from;
      int size =
          random == null
              ? most
              : Math.min(most, 1 + random.nextInt(random.nextBoolean() ? 9 : 40_000));
      // Read buffers begin anywhere, so each piece lies inside a larger one.
      ByteBuffer piece =
          ByteBuffer.allocate(size + 3).position(3).put(stream, from, size).position(3);
      pieces.add(piece);
      from += size;
    }
    return pieces;
  }

  private static String write(String hex) {
    return "INSERT INTO kv (name, content) VALUES ('7f3a', '\\x"
        + hex
        + "') RETURNING content "
        + "/* id=9b1f,c=order,d=480,cluster=2 */";
  }

  private static byte[] served(String value) {
    return bytes(
        message('T', COLUMNS),
        row(value),
        message('C', "SELECT 1\0"),
        message('S', "mode\0read-write\0"),
        message('S', "wal_time\0" + "1767225600123\0"),
        message('Z', "I"));
  }

  private static byte[] row(String value) {
    return message('D', "\0\1\0\0\0" + (char) value.length() + value);
  }

  private static byte[] query(String text) {
    return message('Q', text + "\0");
  }

  private static byte[] start() {
    return bytes(MessageEncoder.startup());
  }

  private static byte[] untyped(int code) {
    return ByteBuffer.allocate(8).putInt(8).putInt(code).array();
  }

  private static byte[] message(char type, String body) {
    byte[] b = body.getBytes(StandardCharsets.ISO_8859_1);
    return ByteBuffer.allocate(5 + b.length).put((byte) type).putInt(4 + b.length).put(b).array();
  }

  private static byte[] bytes(byte[]... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }

  private static byte[] bytes(ByteBuffer... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (ByteBuffer part : parts) {
      byte[] b = new byte[part.remaining()];
      part.duplicate().get(b);
      all.writeBytes(b);
    }
    return all.toByteArray();
  }

  private static String text(ByteBuffer... parts) {
    return new String(bytes(parts), StandardCharsets.ISO_8859_1);
  }
}
