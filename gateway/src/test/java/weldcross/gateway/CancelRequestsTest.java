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

/** PostgreSQL's CancelRequest. */
class CancelRequestsTest {

  /** Nothing more is sent for a request that is cancelled. */
  @Test
  void cancelRequestEndsTheLongestOpenRequest() {
    GatewayHarness harness = GatewayHarness.serving();
    harness.lastClient++;
    long client = harness.accept();
    harness.send(client, MessageEncoder.startup());
    byte[] welcome =
        harness.connections.get(client).takeReceived().getBytes(StandardCharsets.ISO_8859_1);
    int key = new String(welcome, StandardCharsets.ISO_8859_1).indexOf("K\0\0\0\14") + 5;
    ByteBuffer cancel =
        ByteBuffer.allocate(16).putInt(16).putInt(80877102).put(welcome, key, 8).flip();
    ByteBuffer guess = cancel.duplicate().order(cancel.order());
    harness.unreachable.addAll(List.of("s-0", "s-1", "s-2"));
    final String first = harness.request(client, false, 900);
    final String second = harness.request(client, false, 900);
    ByteBuffer wrong = ByteBuffer.allocate(16).put(guess).putInt(12, cancel.getInt(12) + 1).flip();
    harness.send(harness.accept(), wrong);
    assertEquals(
        Map.of(), harness.history.answers, "whoever does not know its key cancels nothing");
    long by = harness.accept();
    harness.send(by, cancel.duplicate());
    assertTrue(
        harness.connections.get(by).dropped && harness.connections.get(by).takeReceived().isEmpty(),
        "closed without an answer");
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
