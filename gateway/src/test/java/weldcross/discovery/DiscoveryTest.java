package weldcross.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.config.ConfigValues;
import weldcross.config.InvalidConfigException;
import weldcross.routing.EndpointStatus;

class DiscoveryTest {

  private static final String ENTRY =
      "{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:6543\",\"locality\":\"b\","
          + "\"flavor\":\"m2\",\"cell\":3,\"phase\":\"leaving\",\"size\":1.0,\"up_since_ms\":17}";

  @Test
  void responsesDecodeTheSameInPiecesOfAnySize() throws HttpResponseDecoder.ProtocolException {
    String stream =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nServer: x\r\n\r\nhello"
            + "HTTP/1.1 100 Continue\r\n\r\n"
            + "HTTP/1.1 200 OK\r\ntransfer-encoding: "
            + "chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: 1\r\n\r\n"
            + "HTTP/1.1 503 Busy\nContent-Length: 0\n\n";
    List<String> expected = List.of("200 hello", "200 hello", "503 ");
    assertEquals(expected, read(stream, null));
    for (long seed = 0; seed < 200; seed++) {
      assertEquals(expected, read(stream, new SplittableRandom(seed)), "seed " + seed);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "SSH-2.0-x\r\n",
        "HTTP/1.1 20x OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
      })
  void bytesThatAreNoResponseAreRejected(String stream) {
    assertThrows(HttpResponseDecoder.ProtocolException.class, () -> read(stream, null));
  }

  @Test
  void lineWithoutEndIsRejected() {
    assertThrows(HttpResponseDecoder.ProtocolException.class, () -> read("H".repeat(10_000), null));
  }

  @Test
  void entryIsReadWithZoneIndex() {
    DiscoveredEndpoint m = members(ENTRY).get(0);
    assertEquals(
        List.of("s-1", 1, 3, EndpointStatus.DRAINING, 17L),
        List.of(m.id(), m.zone(), m.group(), m.status(), m.startedAtMillis()));
    assertEquals(6543, m.address().getPort());
    assertTrue(members().isEmpty());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"phase\":\"leaving\"|\"phase\":\"asleep\"|members.1.phase",
        "\"id\":\"s-1\",||members.1.id",
        "127.0.0.1:6543|somewhere:6543|members.1.host_port",
        "127.0.0.1:6543|127.0.0.1:99999|members.1.host_port",
        "\"cell\":3|\"cell\":\"x\"|members.1.cell",
        "17|-1|members.1.up_since_ms"
      })
  void invalidEntryRejectsWholeList(String part, String replacement, String key) {
    String faulty = ENTRY.replace(part, replacement == null ? "" : replacement);
    InvalidConfigException fault =
        assertThrows(InvalidConfigException.class, () -> members(ENTRY, faulty));
    assertTrue(fault.getMessage().startsWith(key + ": found "), fault.getMessage());
  }

  private static List<DiscoveredEndpoint> members(String... entries) {
    String text =
        "{\"revision\":41,\"complete\":true,\"members\":[" + String.join(",", entries) + "]}";
    return DiscoveredEndpoint.read(
        ConfigValues.ofJson(text.getBytes(StandardCharsets.UTF_8)), List.of("a", "b"));
  }

  /**
   * An answer without a length is whole when its connection ends in order, and never after a reset.
   */
  @Test
  void bodyWithoutLengthEndsWithConnection() throws HttpResponseDecoder.ProtocolException {
    List<String> got = new ArrayList<>();
    HttpResponseDecoder decoder =
        new HttpResponseDecoder(
            (status, body) -> got.add(status + " " + new String(body, StandardCharsets.UTF_8)));
    for (String part :
        List.of("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"rev", "ision\":4}")) {
      decoder.feed(ByteBuffer.wrap(part.getBytes(StandardCharsets.ISO_8859_1)));
      assertTrue(got.isEmpty(), "nobody has said that it is whole");
    }
    decoder.endOfStream();
    assertEquals(List.of("200 {\"revision\":4}"), got);
    decoder.endOfStream();
    assertEquals(1, got.size());
    HttpResponseDecoder endless = new HttpResponseDecoder((status, body) -> got.add("endless"));
    endless.feed(ByteBuffer.wrap("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1)));
    assertThrows(
        HttpResponseDecoder.ProtocolException.class,
        () -> {
          for (int k = 0; k < 5; k++) {
            endless.feed(ByteBuffer.allocate(1 << 20));
          }
        });
  }

  private static List<String> read(String stream, SplittableRandom random)
      throws HttpResponseDecoder.ProtocolException {
    List<String> got = new ArrayList<>();
    HttpResponseDecoder decoder =
        new HttpResponseDecoder(
            (status, body) -> got.add(status + " " + new String(body, StandardCharsets.UTF_8)));
    byte[] bytes = stream.getBytes(StandardCharsets.ISO_8859_1);
    for (int from = 0; from < bytes.length; ) {
      int size =
          random == null ? bytes.length : Math.min(bytes.length - from, 1 + random.nextInt(7));
      decoder.feed(ByteBuffer.wrap(bytes, from, size));
      from += size;
    }
    return got;
  }
}
