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
import org.junit.jupiter.params.provider.ValueSource;

class HttpResponseDecoderTest {

  @Test
  void decodingDoesNotDependOnFragmentation() throws HttpResponseDecoder.ProtocolException {
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
  void invalidResponseIsRejected(String stream) {
    assertThrows(HttpResponseDecoder.ProtocolException.class, () -> read(stream, null));
  }

  @Test
  void unterminatedLineIsRejected() {
    assertThrows(HttpResponseDecoder.ProtocolException.class, () -> read("H".repeat(10_000), null));
  }

  /** A response without a length is complete after an orderly close, and never after a reset. */
  @Test
  void bodyWithoutLengthIsCompletedByClose() throws HttpResponseDecoder.ProtocolException {
    List<String> responses = new ArrayList<>();
    HttpResponseDecoder decoder =
        new HttpResponseDecoder(
            (status, body) ->
                responses.add(status + " " + new String(body, StandardCharsets.UTF_8)));
    for (String fragment :
        List.of("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"rev", "ision\":4}")) {
      decoder.feed(ByteBuffer.wrap(fragment.getBytes(StandardCharsets.ISO_8859_1)));
      assertTrue(responses.isEmpty(), "the connection is still open");
    }
    decoder.endOfStream();
    assertEquals(List.of("200 {\"revision\":4}"), responses);
    decoder.endOfStream();
    assertEquals(1, responses.size());
    HttpResponseDecoder unterminated =
        new HttpResponseDecoder((status, body) -> responses.add("too long"));
    unterminated.feed(
        ByteBuffer.wrap("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1)));
    assertThrows(
        HttpResponseDecoder.ProtocolException.class,
        () -> {
          for (int mebibyte = 0; mebibyte < 5; mebibyte++) {
            unterminated.feed(ByteBuffer.allocate(1 << 20));
          }
        });
  }

  private static List<String> read(String stream, SplittableRandom random)
      throws HttpResponseDecoder.ProtocolException {
    List<String> responses = new ArrayList<>();
    HttpResponseDecoder decoder =
        new HttpResponseDecoder(
            (status, body) ->
                responses.add(status + " " + new String(body, StandardCharsets.UTF_8)));
    byte[] bytes = stream.getBytes(StandardCharsets.ISO_8859_1);
    for (int from = 0; from < bytes.length; ) {
      int size =
          random == null ? bytes.length : Math.min(bytes.length - from, 1 + random.nextInt(7));
      decoder.feed(ByteBuffer.wrap(bytes, from, size));
      from += size;
    }
    return responses;
  }
}
