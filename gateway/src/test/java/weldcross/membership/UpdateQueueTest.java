package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.mesh.PeerName;

class UpdateQueueTest {

  private static final PeerName RECEIVER = new PeerName("receiver");

  private final UpdateQueue queue = new UpdateQueue();

  private static MembershipUpdate update(String member, long incarnation) {
    PeerName name = new PeerName(member);
    return new MembershipUpdate(name, incarnation, 0, MemberState.ALIVE, "", 1, name);
  }

  private List<MembershipUpdate> fill(int maxUpdates) {
    List<MembershipUpdate> message = new ArrayList<>();
    queue.fill(message, RECEIVER, maxUpdates);
    return message;
  }

  @Test
  void updatesWithFewestDeliveriesAreSentFirstUpToTheLimit() {
    queue.add(update("a", 1));
    queue.add(update("b", 1));
    queue.add(update("c", 1));
    queue.recordDelivery(List.of(update("a", 1)), 5);
    assertEquals(List.of(update("b", 1), update("c", 1)), fill(2));
  }

  @Test
  void updateAboutTheReceiverIsExcluded() {
    queue.add(update(RECEIVER.name(), 1));
    queue.add(update("a", 1));
    assertEquals(List.of(update("a", 1)), fill(5));
  }

  @Test
  void updateIsRemovedAfterEnoughDeliveries() {
    queue.add(update("a", 1));
    queue.recordDelivery(List.of(update("a", 1)), 2);
    assertEquals(1, queue.size());
    queue.recordDelivery(List.of(update("a", 1)), 2);
    assertEquals(0, queue.size());
  }

  @Test
  void deliveryOfAReplacedUpdateDoesNotCount() {
    queue.add(update("a", 1));
    queue.add(update("a", 2));
    queue.recordDelivery(List.of(update("a", 1)), 1);
    assertEquals(List.of(update("a", 2)), fill(5));
  }
}
