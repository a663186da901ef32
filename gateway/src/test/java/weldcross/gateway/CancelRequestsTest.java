package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import weldcross.pgwire.MessageEncoder;

/** Handling of PostgreSQL's CancelRequest message. */
class CancelRequestsTest {

  /** A cancelled request is answered with an error, and no further attempt is sent for it. */
  @Test
  void cancelRequestCancelsTheOldestUnansweredRequest() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.lastClientId++;
    long client = harness.accept();
    harness.send(client, MessageEncoder.startup());
    byte[] startupResponse =
        harness.connections.get(client).takeReceived().getBytes(StandardCharsets.ISO_8859_1);
    int keyData =
        new String(startupResponse, StandardCharsets.ISO_8859_1).indexOf("K\0\0\0\14") + 5;
    ByteBuffer cancel =
        ByteBuffer.allocate(16).putInt(16).putInt(80877102).put(startupResponse, keyData, 8).flip();
    harness.unreachable.addAll(List.of("s-0", "s-1", "s-2"));
    final String first = harness.request(client, false, 900);
    final String second = harness.request(client, false, 900);
    ByteBuffer wrongKey =
        ByteBuffer.allocate(16).put(cancel.duplicate()).putInt(12, cancel.getInt(12) + 1).flip();
    harness.send(harness.accept(), wrongKey);
    assertEquals(Map.of(), harness.history.answers, "a wrong secret key cancels nothing");
    long cancelConnection = harness.accept();
    harness.send(cancelConnection, cancel.duplicate());
    assertTrue(
        harness.connections.get(cancelConnection).dropped
            && harness.connections.get(cancelConnection).takeReceived().isEmpty(),
        "closed without a response");
    assertEquals(Map.of(first, "57014"), harness.history.answers);
    assertTrue(
        harness.history.openAttempts.getOrDefault(first, Set.of()).isEmpty(),
        "its attempt is cancelled");
    harness.send(harness.accept(), cancel.duplicate());
    assertEquals(Map.of(first, "57014", second, "57014"), harness.history.answers);
    harness.send(harness.accept(), cancel.duplicate());
    harness.advance(1000);
    assertEquals(2, harness.history.answers.size());
  }
}
