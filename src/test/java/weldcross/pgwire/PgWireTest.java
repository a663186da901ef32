package weldcross.pgwire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PgWireTest {

    private static final String READ = "SELECT content FROM kv WHERE name = '7f3a' "
            + "/* id=9b1f,c=basket,t=acme,d=480,cluster=2,after=1767225600123 */";

    /** What a client said, in words. */
    private static final class Heard implements ClientReader.Sink {
        final List<String> words = new ArrayList<>();

        @Override
        public void encryptionAsked() {
            words.add("encryption");
        }

        @Override
        public void started() {
            words.add("started");
        }

        @Override
        public void asked(Statement s) {
            words.add("asked " + s.id() + " " + s.key() + " " + s.isWrite() + " " + text(s.withWait(77))
                    .hashCode());
        }

        @Override
        public void askedNothing() {
            words.add("nothing");
        }

        @Override
        public void askedWrongly(String state, String text) {
            words.add("wrong " + state);
        }

        @Override
        public void broke(String state, String text) {
            words.add("broke " + state);
        }

        @Override
        public void ended() {
            words.add("ended");
        }
    }

    @Test
    void aClientsStreamReadsTheSameInPiecesOfAnySize() {
        byte[] stream = bytes(untyped(80877103), untyped(80877104), start(), query(READ), query(""),
                query(READ),
                query("SELECT 1"), query(write("00ff".repeat(30_000))), message('X', ""));
        List<String> whole = hear(stream, null);
        assertEquals(List.of("encryption", "encryption", "started"), whole.subList(0, 3));
        assertEquals(List.of("nothing", "wrong 42601", "ended"),
                List.of(whole.get(4), whole.get(6), whole.get(8)));
        for (long seed = 0; seed < 200; seed++) {
            assertEquals(whole, hear(stream, new SplittableRandom(seed)), "seed " + seed);
        }
    }

    @Test
    void aServersStreamReadsTheSameInPiecesOfAnySize() throws Malformed {
        byte[] stream = bytes(message('R', "\0\0\0\0"), message('S', "server_version\0" + "14\0"),
                message('Z', "I"),
                served("value"), message('E', "SERROR\0C25006\0Mno\0\0"), message('S', "mode\0read-only\0"),
                message('Z', "I"), served("x0=12.5,x1=1"));
        List<String> whole = answers(stream, null);
        assertEquals(List.of("ready", "true null value true 1767225600123", "false 25006  false 0",
                "true null x0=12.5,x1=1 true 1767225600123"), whole);
        for (long seed = 0; seed < 200; seed++) {
            assertEquals(whole, answers(stream, new SplittableRandom(seed)), "seed " + seed);
        }
    }

    @Test
    void theRowPassesUntouchedWithoutTheServersOwnParameters() throws Malformed {
        List<ServerAnswer> got = new ArrayList<>();
        ServerReader reader = new ServerReader(() -> { }, got::add);
        reader.feed(ByteBuffer.wrap(bytes(message('Z', "I"), served("v\0w"))));
        assertArrayEquals(bytes(message('T', "\0\1one"), row("v\0w"), message('C', "SELECT 1\0"), message('Z',
                "I")),
                bytes(got.get(0).forClient()));
    }

    @Test
    void onlyTheWaitIsWrittenAnew() throws Malformed {
        for (String text : List.of(READ, write("9f03"))) {
            Statement s = Statement.read(ByteBuffer.wrap(query(text)));
            for (long wait : new long[] {1, 480, 123_456}) {
                assertEquals(new String(query(text.replace("d=480", "d=" + wait)),
                        StandardCharsets.ISO_8859_1),
                        text(s.withWait(wait)));
            }
        }
    }

    @Test
    void theHeadIsReadInPlace() throws Malformed {
        Statement s = Statement.read(ByteBuffer.wrap(query(READ)));
        assertEquals(List.of("9b1f", "basket", "acme", "7f3a"), List.of(s.id(), s.method(), s.tenant(),
                s.key()));
        assertEquals(List.of(2L, 480L, 1767225600123L), List.of((long) s.group(), s.waitMillis(),
                s.afterMillis()));
        assertFalse(s.isWrite() || s.isRepeat());
        assertTrue(Statement.read(ByteBuffer.wrap(query(READ.replace("d=480", "r=1,d=480")))).isRepeat());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "id=9b1f,||22023", "id=9b1f|id=|22023", "id=9b1f|id=9b1f,id=9b1f|22023", "c=basket,||22023",
        "d=480|d=soon|22023", "d=480|d=-1|22023", "d=480|d=99999999999|22023", "d=480|d=480,d=480|22023",
        "cluster=2|cluster=x|22023", ",cluster=2||22023", "after=1767225600123|after=new|22023",
        "'7f3a'|''|42601", "'7f3a'|'7f''3a'|42601", "'7f3a'|'7f\\3a'|42601", "name =|name|42601",
        "SELECT|select|42601", "kv|kw|42601", "/*|--|42601", "*/|*/;|42601", "*/||42601",
        "*/|*/ /* x=1 */|42601",
        "t=acme|t=ac*/me|22023"})
    void aStatementThatIsNotOfTheFormIsTurnedAway(String part, String instead, String state) {
        String text = READ.replace(part, instead == null ? "" : instead);
        Malformed fault = assertThrows(Malformed.class, () -> Statement.read(ByteBuffer.wrap(query(text))));
        assertEquals(state, fault.state(), text);
    }

    @ParameterizedTest
    @ValueSource(strings = {"9f0", "9g", "9f03 "})
    void aValueMustBeHex(String hex) {
        assertThrows(Malformed.class, () -> Statement.read(ByteBuffer.wrap(query(write(hex)))));
    }

    @Test
    void whatCannotBeReadOnEndsTheStream() {
        byte[] tooLong = ByteBuffer.allocate(5).put((byte) 'Q').putInt(FrameReader.LONGEST + 1).array();
        byte[] tooShort = ByteBuffer.allocate(5).put((byte) 'Q').putInt(3).array();
        for (byte[] bad : List.of(tooLong, tooShort, message('?', ""))) {
            assertEquals(List.of("started", "broke 08P01"), hear(bytes(start(), bad, query(READ)), null));
        }
        for (char extended : "PBDECHSF".toCharArray()) {
            assertEquals(List.of("started", "broke 0A000"), hear(bytes(start(), message(extended, "\0")),
                    null));
        }
        assertEquals(List.of("broke 0A000"), hear(untyped(2 << 16), null));
        assertEquals(List.of("ended"), hear(untyped(80877102), null));
        assertEquals(List.of("broke 08P01"), hear(new byte[] {0, 0, 0, 4}, null));
    }

    @Test
    void aServersNonsenseIsNoAnswer() {
        for (byte[] bad : List.of(message('!', ""), bytes(row("a"), row("b")), message('S', "mode"),
                message('S', "wal_time\0soon\0"), message('E', "C53300"))) {
            ServerReader reader = new ServerReader(() -> { }, answer -> { });
            assertThrows(Malformed.class, () -> reader.feed(ByteBuffer.wrap(bytes(message('Z', "I"), bad))));
        }
    }

    private static List<String> hear(byte[] stream, SplittableRandom dice) {
        Heard heard = new Heard();
        ClientReader reader = new ClientReader(heard);
        for (ByteBuffer piece : pieces(stream, dice)) {
            reader.feed(piece);
        }
        return heard.words;
    }

    private static List<String> answers(byte[] stream, SplittableRandom dice) throws Malformed {
        List<String> words = new ArrayList<>();
        ServerReader reader = new ServerReader(() -> words.add("ready"), a -> words.add(a.isServed() + " "
                + a.state()
                + " " + a.rowText() + " " + a.primary() + " " + a.positionMillis()));
        for (ByteBuffer piece : pieces(stream, dice)) {
            reader.feed(piece);
        }
        assertNotNull(reader.rest());
        return words;
    }

    private static List<ByteBuffer> pieces(byte[] stream, SplittableRandom dice) {
        List<ByteBuffer> pieces = new ArrayList<>();
        for (int from = 0; from < stream.length; ) {
            int most = stream.length - from;
            int size = dice == null ? most : Math.min(most, 1 + dice.nextInt(dice.nextBoolean() ? 9
                    : 40_000));
            // Read buffers begin anywhere, so each piece lies inside a larger one.
            ByteBuffer piece = ByteBuffer.allocate(size + 3).position(3).put(stream, from, size).position(3);
            pieces.add(piece);
            from += size;
        }
        return pieces;
    }

    private static String write(String hex) {
        return "INSERT INTO kv (name, content) VALUES ('7f3a', '\\x" + hex + "') RETURNING content "
                + "/* id=9b1f,c=order,d=480,cluster=2 */";
    }

    private static byte[] served(String value) {
        return bytes(message('T', "\0\1one"), row(value), message('C', "SELECT 1\0"),
                message('S', "mode\0read-write\0"), message('S', "wal_time\0" + "1767225600123\0"),
                message('Z', "I"));
    }

    private static byte[] row(String value) {
        return message('D', "\0\1\0\0\0" + (char) value.length() + value);
    }

    private static byte[] query(String text) {
        return message('Q', text + "\0");
    }

    private static byte[] start() {
        return bytes(Replies.startup());
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
