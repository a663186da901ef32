package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Delivery of received messages to the event loop. */
class ClientInboxTest {

  private static final int MESSAGES = 100;

  private final GatewayHarness harness = GatewayHarness.serving();
  private final List<Gateway.Event> posted = new ArrayList<>();
  private final List<Runnable> tasks = new ArrayList<>();
  private final List<Integer> handled = new ArrayList<>();
  private final ClientInbox inbox = new ClientInbox(harness.connect(), posted::add, tasks::add);

  private void handlePosted() {
    List<Gateway.Event> events = List.copyOf(posted);
    posted.clear();
    events.forEach(harness::dispatch);
  }

  private void runTasks() {
    List<Runnable> due = List.copyOf(tasks);
    tasks.clear();
    due.forEach(Runnable::run);
  }

  private void addMessages() {
    for (int index = 0; index < MESSAGES; index++) {
      int number = index;
      inbox.add(gateway -> handled.add(number));
    }
    inbox.deliver();
  }

  /** Guards against a queue of the event loop that one client fills, and against lost messages. */
  @Test
  void messagesAreDeliveredInOrderAsTheEventLoopHandlesThem() {
    addMessages();
    while (handled.size() < MESSAGES) {
      assertTrue(posted.size() > 0 && posted.size() <= 8, posted.size() + " posted");
      handlePosted();
      runTasks();
    }
    for (int index = 0; index < MESSAGES; index++) {
      assertEquals(index, handled.get(index));
    }
    assertTrue(inbox.isEmpty());
  }

  @Test
  void nothingIsDeliveredWhilePaused() {
    inbox.setDelivering(false);
    addMessages();
    assertEquals(List.of(), posted);
    inbox.setDelivering(true);
    runTasks();
    assertTrue(posted.size() > 0);
  }

  /** Guards against memory for each of the messages that are not held. */
  @Test
  void discardedQueriesThatFollowOneAnotherAreDeliveredTogether() {
    inbox.add(gateway -> handled.add(0));
    for (int index = 0; index < MESSAGES; index++) {
      inbox.addDiscardedQuery();
    }
    inbox.add(gateway -> handled.add(1));
    inbox.deliver();
    assertEquals(3, posted.size());
    handlePosted();
    assertEquals(List.of(0, 1), handled);
    String received = harness.connections.get(1L).takeReceived();
    assertEquals(MESSAGES, received.split("C53300", -1).length - 1);
  }

  /** Guards against memory for each request for encryption, however many come before a startup. */
  @Test
  void encryptionRequestsThatFollowOneAnotherAreDeliveredTogether() {
    for (int index = 0; index < MESSAGES; index++) {
      inbox.addMessageStarted();
      inbox.addEncryptionRequest();
    }
    inbox.deliver();
    assertEquals(1, posted.size());
    handlePosted();
    assertEquals("N".repeat(MESSAGES), harness.connections.get(1L).takeReceived());
  }

  /** Guards against memory for each message that comes in two parts and is not held. */
  @Test
  void startOfAMessageIsNotKeptOnceTheMessageIsComplete() {
    for (int index = 0; index < MESSAGES; index++) {
      inbox.addMessageStarted();
      inbox.addDiscardedQuery();
    }
    inbox.addMessageStarted();
    inbox.deliver();
    assertEquals(2, posted.size(), "the queries, and the start of a message that has not ended");
  }
}
