package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import weldcross.connections.ClientMemoryPolicy;

/** Which clients one pass over the sockets reads. */
class BulkReadLimiterTest {

  private static final int BULK_CLIENTS = 20;
  private static final int USUAL_CLIENTS = 30;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final GatheringIoProcessor processor = new GatheringIoProcessor(threads, () -> {});
  private final ClientMemory memory = new ClientMemory(new ClientMemoryPolicy(1 << 20));
  private final Map<String, Stream> streams = new HashMap<>();
  private final BulkReadLimiter<String> limiter =
      new BulkReadLimiter<>(streams::get, session -> true);

  @AfterEach
  void stop() {
    threads.shutdownNow();
  }

  private ClientMemory.Account addClient(String name) {
    ClientMemory.Account account = memory.openAccount();
    ReadBatch batch = new ReadBatch(event -> {});
    streams.put(name, new ClientStream(1, batch, processor, () -> Duration.ZERO, account));
    return account;
  }

  private List<String> choose() {
    List<String> selected = new ArrayList<>(streams.keySet());
    List<String> chosen = new ArrayList<>();
    for (Iterator<String> each = limiter.choose(selected.iterator()); each.hasNext(); ) {
      chosen.add(each.next());
    }
    assertTrue(selected.isEmpty(), "sessions left in the selection are not selected again");
    return chosen;
  }

  /** Guards usual clients, which would wait for all that a flood has sent, and the flood's end. */
  @Test
  void allUsualClientsAndSomeOfTheRefusedOnesAreReadInTurn() {
    for (int index = 0; index < USUAL_CLIENTS; index++) {
      addClient("usual" + index);
    }
    for (int index = 0; index < BULK_CLIENTS; index++) {
      addClient("bulk" + index).refuseUntilDrained();
    }
    Set<String> read = new HashSet<>();
    int passes = 0;
    while (read.size() < USUAL_CLIENTS + BULK_CLIENTS) {
      List<String> chosen = choose();
      assertEquals(USUAL_CLIENTS, chosen.stream().filter(n -> n.startsWith("usual")).count());
      assertTrue(chosen.size() <= USUAL_CLIENTS + BulkReadLimiter.MAX_BULK_READS);
      read.addAll(chosen);
      passes++;
    }
    assertEquals(-Math.floorDiv(-BULK_CLIENTS, BulkReadLimiter.MAX_BULK_READS), passes);
  }

  /** Guards against an unanswered request: what a deferred client has sent is not read yet. */
  @Test
  void deferredClientIsNotQuiet() {
    for (int index = 0; index <= BulkReadLimiter.MAX_BULK_READS; index++) {
      addClient("bulk" + index).refuseUntilDrained();
    }
    List<String> chosen = choose();
    streams.forEach(
        (name, stream) -> assertEquals(chosen.contains(name), ((ClientStream) stream).isQuiet(0)));
    assertFalse(chosen.containsAll(streams.keySet()));
  }
}
