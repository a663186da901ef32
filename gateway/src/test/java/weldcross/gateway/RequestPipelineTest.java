package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldcross.pgwire.MessageEncoder;

/** Order, limits and validation of client requests. */
class RequestPipelineTest {

  @Test
  void rowIsForwardedUnchanged() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    String id = harness.request(client, false, 500);
    harness.answer(harness.connectionOf(id), null);
    String value = "v-" + id;
    assertEquals(
        new String(
                ServerMessages.message('T', ServerMessages.ROW_DESCRIPTION_BODY),
                StandardCharsets.ISO_8859_1)
            + "D"
            + "\0\0\0"
            + (char) (10 + value.length())
            + "\0\1\0\0\0"
            + (char) value.length()
            + value
            + "C\0\0\0\15SELECT 1\0Z\0\0\0\5I",
        harness.connections.get(client).takeReceived());
  }

  /** A slow request does not delay the start of later ones; only their responses wait. */
  @Test
  void pipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    String first = harness.request(client, false, 900);
    String second = harness.request(client, false, 900);
    final String third = harness.request(client, false, 900);
    harness.answer(harness.connectionOf(second), null);
    assertEquals(Map.of(), harness.history.answers);
    harness.answer(harness.connectionOf(first), null);
    harness.answer(harness.connectionOf(third), null);
    assertEquals(List.of(first, second, third), List.copyOf(harness.history.answers.keySet()));
  }

  @Test
  void readingPausesWhileAClientHasTooManyRequests() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    List<String> ids = new ArrayList<>();
    for (int k = 0; k < 20; k++) {
      ids.add(harness.request(client, false, 5000));
    }
    assertTrue(harness.calls.contains("pauseReading " + client));
    for (int k = 0; k < 12; k++) {
      harness.busyConnections().stream()
          .filter(
              connection ->
                  RequestHistory.idOf(harness.connections.get(connection).statement) != null)
          .forEach(connection -> harness.answer(connection, null));
      harness.advance(40);
      harness.answerHealthChecks();
    }
    assertTrue(
        harness.calls.contains("resumeReading " + client), harness.history.answers.toString());
    assertTrue(harness.history.answers.keySet().containsAll(ids));
  }

  @Test
  void burstOfStatementsIsLimitedAndFullyAnswered() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    ByteBuffer burst = ByteBuffer.allocate(60_000);
    for (int k = 0; k < 300; k++) {
      harness.history.requestSent("a" + k, client, harness.now.plusMillis(900));
      burst.put(
          MessageEncoder.query(
              "SELECT content FROM kv WHERE name = 'k' /* id=a"
                  + k
                  + ",c=look,d=900,cluster=0 */"));
    }
    harness.send(client, burst.flip());
    assertTrue(harness.gateway.describe().contains(" 16 requests"), harness.gateway.describe());
    for (int k = 0; k < 90; k++) {
      harness.advance(10);
      harness.answerHealthChecks();
    }
    assertEquals(300, harness.history.answers.size());
    assertEquals(220, harness.history.answers.values().stream().filter("54000"::equals).count());
  }

  /** Queries that were not held are refused, each once, in the order of the client's messages. */
  @Test
  void discardedQueriesAreRefusedInOrder() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    final String first = harness.request(client, false, 900);
    harness.dispatch(gateway -> gateway.pipeline().queriesDiscarded(client, 600));
    final String last = harness.request(client, false, 900);
    harness.answer(harness.connectionOf(last), null);
    assertEquals("", harness.connections.get(client).takeReceived());
    harness.answer(harness.connectionOf(first), null);
    harness.completeWrites();
    String received = harness.connections.get(client).takeReceived();
    assertTrue(received.startsWith("T"), "the first row");
    assertEquals(600, received.split("C53300", -1).length - 1);
    assertTrue(
        received.lastIndexOf("C53300") < received.lastIndexOf("v-" + last), "the last row is last");
  }

  /**
   * Guards against attempts for a client whose disconnect lies unread behind its input: what waits
   * for a server is given up, what is in progress goes on, and nothing more is begun.
   */
  @Test
  void nothingIsBegunWhileTheInputOfAClientIsBehind() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    List<String> ids = new ArrayList<>();
    for (int k = 0; k < 16; k++) {
      ids.add(harness.request(client, true, 900));
    }
    List<String> begun = ids.stream().filter(harness.history.openAttempts::containsKey).toList();
    assertTrue(begun.size() < ids.size(), "some wait for a server");
    harness.inputBehind.add(client);
    harness.dispatch(gateway -> gateway.pipeline().inputFellBehind(client));
    ids.add(harness.request(client, true, 900));
    begun.forEach(id -> harness.answer(harness.connectionOf(id), null));
    for (String id : ids) {
      String expected = begun.contains(id) ? "ok" : "53300";
      assertEquals(expected, harness.history.answers.get(id), id);
    }
    harness.inputBehind.remove(client);
    harness.connectionOf(harness.request(client, true, 900));
  }

  @ParameterizedTest
  @CsvSource({"c=look,c=read", "c=look,c=file", "cluster=0,cluster=7", "d=900,'d=900,t=nobody'"})
  void invalidStatementIsRejected(String original, String replacement) {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    harness.history.deadlines.put("z", harness.now.plusMillis(900));
    String text = "SELECT content FROM kv WHERE name = 'k' /* id=z,c=look,d=900,cluster=0 */";
    harness.send(client, MessageEncoder.query(text.replace(original, replacement)));
    assertTrue(harness.connections.get(client).takeReceived().contains("C22023"));
    assertTrue(
        harness.busyConnections().stream()
            .allMatch(
                connection ->
                    RequestHistory.idOf(harness.connections.get(connection).statement) == null));
    harness.send(client, MessageEncoder.query(text));
    harness.connectionOf("z");
    long other = harness.connect();
    harness.send(other, MessageEncoder.query(text));
    assertTrue(
        harness.connections.get(other).takeReceived().contains("C22023"), "the id is in use");
  }
}
