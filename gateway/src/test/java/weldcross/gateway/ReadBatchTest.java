package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.pgwire.ClientMessageDecoder;
import weldcross.pgwire.MessageEncoder;

/** The order in which the events of one pass over the sockets are posted. */
class ReadBatchTest {

  private final List<Gateway.Event> posted = new ArrayList<>();
  private final ReadBatch batch = new ReadBatch(posted::add);
  private final GatewayHarness harness = GatewayHarness.serving();

  private void deliver() {
    batch.postAll();
    List.copyOf(posted).forEach(harness::dispatch);
    posted.clear();
  }

  /** Decodes what a client sends into the batch, as a stream on sockets does. */
  private ClientMessageDecoder reader(long client) {
    return Streams.client(
        event -> batch.addForClient(client, event), batch::add, () -> harness.now, client);
  }

  private static ByteBuffer read(String id) {
    return MessageEncoder.query(
        "SELECT content FROM kv WHERE name = 'k' /* id=" + id + ",c=look,d=900,cluster=0 */");
  }

  /** Nobody waits for it any more. */
  @Test
  void requestReadWithItsClientsDisconnectIsNotStarted() {
    long goes = harness.connect();
    final long stays = harness.connect();
    reader(goes);
    ClientMessageDecoder one = reader(goes);
    one.feed(MessageEncoder.startup());
    one.feed(read("a900"));
    ClientMessageDecoder other = reader(stays);
    other.feed(MessageEncoder.startup());
    other.feed(read("a901"));
    harness.history.deadlines.put("a901", harness.now.plusMillis(900));
    harness.history.clientOf.put("a901", stays);
    batch.clientDisconnected(goes);
    deliver();
    assertTrue(harness.history.openAttempts.containsKey("a901"));
    assertTrue(
        !harness.history.openAttempts.containsKey("a900")
            && !harness.gateway.describe().contains("2 accepted"),
        harness.gateway.describe());
  }

  /** Lest a request queued for the last of them is started as the first makes room. */
  @Test
  void disconnectsArePostedFirstAsOneEvent() {
    List<String> order = new ArrayList<>();
    batch.addForClient(7, g -> order.add("of a client"));
    batch.add(g -> order.add("of a server"));
    batch.clientDisconnected(8);
    batch.clientDisconnected(9);
    batch.postAll();
    assertEquals(3, posted.size(), "one for both disconnects, and the two others");
    posted.remove(0);
    posted.forEach(harness::dispatch);
    assertEquals(List.of("of a client", "of a server"), order);
    posted.clear();
    batch.postAll();
    assertTrue(posted.isEmpty(), "nothing is posted twice");
  }

  /**
   * Rule 5: an answer to its session's write and a read of it, found in one batch, whichever socket
   * comes first.
   */
  @Test
  void serverEventsArePostedBeforeClientEvents() {
    List<String> order = new ArrayList<>();
    batch.addForClient(7, g -> order.add("asked"));
    batch.addForServer(g -> order.add("answered"));
    batch.addForServer(g -> order.add("gone"));
    batch.clientDisconnected(8);
    batch.postAll();
    posted.remove(0);
    posted.forEach(harness::dispatch);
    assertEquals(List.of("answered", "gone", "asked"), order);
  }

  /** A client accepted and disconnected in one pass leaves nothing behind. */
  @Test
  void clientAcceptedAndDisconnectedInOnePassIsUnknown() {
    batch.clientAccepted(70);
    batch.clientDisconnected(70);
    batch.clientAccepted(71);
    deliver();
    assertTrue(harness.gateway.describe().startsWith("1 clients"), harness.gateway.describe());
  }
}
