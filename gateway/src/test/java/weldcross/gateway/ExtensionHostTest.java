package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import weldcross.config.GatewayConfig;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.gateway.LoopbackFakes.Client;
import weldcross.gateway.LoopbackFakes.Discovery;
import weldcross.gateway.LoopbackFakes.Primary;

/** Extensions from the start of their gateway to its stop. */
@Timeout(60)
class ExtensionHostTest {

  private final LoopbackFakes fakes = new LoopbackFakes();

  @AfterEach
  void closeFakes() throws Exception {
    fakes.close();
  }

  /** An extension that records its calls; a test says when it is ready and done. */
  private static final class RecordingExtension implements GatewayExtension {
    final String name;
    final List<String> calls;
    ExtensionContext context;
    volatile boolean ready;
    volatile boolean done;

    RecordingExtension(String name, List<String> calls) {
      this.name = name;
      this.calls = calls;
    }

    @Override
    public String name() {
      return name;
    }

    @Override
    public void start(ExtensionContext given) {
      context = given;
      calls.add(name + " starts");
    }

    @Override
    public boolean isReady() {
      return ready;
    }

    @Override
    public void reloaded() {
      calls.add(name + " reloaded");
    }

    @Override
    public void drain() {
      calls.add(name + " drains");
    }

    @Override
    public boolean isDone() {
      return done;
    }

    @Override
    public void stop() {
      calls.add(name + " stops");
    }

    @Override
    public String describe() {
      return name;
    }
  }

  /** Before clients are accepted, and with the stop held up as well. */
  @Test
  void extensionsStartInOrderHoldReadinessAndStopInReverse() throws Exception {
    Discovery discovery = fakes.discovery(new Primary());
    List<String> calls = Collections.synchronizedList(new ArrayList<>());
    RecordingExtension a = new RecordingExtension("a", calls);
    RecordingExtension b = new RecordingExtension("b", calls);
    b.ready = true;
    a.done = true;
    GatewayProcess gateway =
        new GatewayProcess(LoopbackFakes.readConfig(discovery), List.of(a, b), Instant::now);
    CompletableFuture<Integer> status = CompletableFuture.supplyAsync(gateway::serve);
    InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
    assertEquals(List.of("a starts", "b starts"), calls);
    try (Client client = new Client(address)) {
      CountDownLatch listed = new CountDownLatch(1);
      while (listed.getCount() > 0) {
        assertTrue(client.query("").get(0).startsWith("E"), "not ready while an extension is not");
        a.context.post(
            () -> {
              if (a.context.now().toMillis() > 1500) {
                listed.countDown();
              }
            });
      }
      a.ready = true;
      a.context.post(a.context::changed);
      while (!client.query("").get(0).startsWith("I")) {
        Thread.onSpinWait();
      }
      GatewayConfig again = LoopbackFakes.readConfig(discovery);
      gateway.reload(() -> again);
      gateway.stop();
      CountDownLatch waited = new CountDownLatch(1);
      b.context.post(() -> b.context.at(b.context.now().plusMillis(1500), waited::countDown));
      assertTrue(waited.await(20, TimeUnit.SECONDS));
      assertFalse(status.isDone(), "it waits for the extension that is not done");
      b.done = true;
      b.context.post(b.context::changed);
      assertEquals(0, status.get(20, TimeUnit.SECONDS));
    }
    assertEquals(
        List.of(
            "a starts",
            "b starts",
            "a reloaded",
            "b reloaded",
            "a drains",
            "b drains",
            "b stops",
            "a stops"),
        calls);
  }
}
