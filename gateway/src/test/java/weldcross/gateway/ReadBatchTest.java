package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.pgwire.ClientMessageDecoder;
import weldcross.pgwire.MessageEncoder;

/** Tests which events of one pass over the sockets are posted, and in which order. */
class ReadBatchTest {

  private final List<Gateway.Event> posted = new ArrayList<>();
  private final ReadBatch batch = new ReadBatch(posted::add);
  private final GatewayHarness harness = GatewayHarness.serving();

  private void postAndDispatch() {
    batch.postAll();
    List.copyOf(posted).forEach(harness::dispatch);
    posted.clear();
  }

  /** Returns a decoder that adds the messages of a client to the batch, as its stream does. */
  private ClientMessageDecoder decoderOf(long client) {
    return MessageDecoders.forClient(
        event -> batch.addForClient(client, event), batch::add, () -> harness.now, client);
  }

  private static ByteBuffer readStatement(String id) {
    return MessageEncoder.query(
        "SELECT content FROM kv WHERE name = 'k' /* id=" + id + ",c=look,d=900,cluster=0 */");
  }

  /** Guards against useless attempts for a client that has already disconnected. */
  @Test
  void requestOfAClientThatDisconnectsInTheSamePassIsNotStarted() {
    long leavingClient = harness.connect();
    final long otherClient = harness.connect();
    ClientMessageDecoder leavingDecoder = decoderOf(leavingClient);
    leavingDecoder.feed(MessageEncoder.startup());
    leavingDecoder.feed(readStatement("a900"));
    ClientMessageDecoder otherDecoder = decoderOf(otherClient);
    otherDecoder.feed(MessageEncoder.startup());
    otherDecoder.feed(readStatement("a901"));
    harness.history.deadlines.put("a901", harness.now.plusMillis(900));
    harness.history.clientOf.put("a901", otherClient);
    batch.clientDisconnected(leavingClient);
    postAndDispatch();
    assertTrue(harness.history.openAttempts.containsKey("a901"));
    assertTrue(
        !harness.history.openAttempts.containsKey("a900")
            && !harness.gateway.describe().contains("2 accepted"),
        harness.gateway.describe());
  }

  /**
   * Guards against useless attempts: with an event per disconnect, the first would free capacity
   * and start a queued request of a client whose disconnect is posted next.
   */
  @Test
  void disconnectsArePostedFirstAsOneEvent() {
    List<String> order = new ArrayList<>();
    batch.addForClient(7, g -> order.add("client event"));
    batch.add(g -> order.add("other event"));
    batch.clientDisconnected(8);
    batch.clientDisconnected(9);
    batch.postAll();
    assertEquals(3, posted.size(), "one event for both disconnects and the two others");
    posted.remove(0);
    posted.forEach(harness::dispatch);
    assertEquals(List.of("client event", "other event"), order);
    posted.clear();
    batch.postAll();
    assertTrue(posted.isEmpty(), "an event is posted twice");
  }

  /**
   * Guards against a session that does not read its own write: the response to the write and the
   * read are received in one pass, and the socket of the client may be read first.
   */
  @Test
  void serverEventsArePostedBeforeClientEvents() {
    List<String> order = new ArrayList<>();
    batch.addForClient(7, g -> order.add("request"));
    batch.addForServer(g -> order.add("response"));
    batch.addForServer(g -> order.add("closed"));
    batch.clientDisconnected(8);
    batch.postAll();
    posted.remove(0);
    posted.forEach(harness::dispatch);
    assertEquals(List.of("response", "closed", "request"), order);
  }

  @Test
  void clientAcceptedAndDisconnectedInTheSamePassIsNotTracked() {
    batch.clientAccepted(70);
    batch.clientDisconnected(70);
    batch.clientAccepted(71);
    postAndDispatch();
    assertTrue(harness.gateway.describe().startsWith("1 clients"), harness.gateway.describe());
  }
}
