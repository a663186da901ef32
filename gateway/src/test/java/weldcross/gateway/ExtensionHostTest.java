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

/** The lifecycle of extensions, from the start of their gateway to its stop. */
@Timeout(60)
class ExtensionHostTest {

  private final LoopbackFakes fakes = new LoopbackFakes();

  @AfterEach
  void closeFakes() throws Exception {
    fakes.close();
  }

  /** Records the calls of its methods; the test controls whether it is ready and done. */
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
    public void start(ExtensionContext extensionContext) {
      context = extensionContext;
      calls.add(name + " starts");
    }

    @Override
    public boolean isReady() {
      return ready;
    }

    @Override
    public void configReloaded() {
      calls.add(name + " reloaded");
    }

    @Override
    public void drain() {
      calls.add(name + " drains");
    }

    @Override
    public boolean isDrained() {
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

  /**
   * Extensions start before clients are accepted. The gateway is not ready until all extensions are
   * ready, and does not stop until all are done.
   */
  @Test
  void extensionsStartInOrderDelayReadinessAndStopInReverseOrder() throws Exception {
    Discovery discovery = fakes.discovery(new Primary());
    List<String> calls = Collections.synchronizedList(new ArrayList<>());
    RecordingExtension first = new RecordingExtension("first", calls);
    RecordingExtension second = new RecordingExtension("second", calls);
    second.ready = true;
    first.done = true;
    GatewayProcess gateway =
        new GatewayProcess(
            LoopbackFakes.readConfig(discovery), List.of(first, second), Instant::now);
    CompletableFuture<Integer> status = CompletableFuture.supplyAsync(gateway::serve);
    InetSocketAddress address = gateway.listening().get(20, TimeUnit.SECONDS);
    assertEquals(List.of("first starts", "second starts"), calls);
    try (Client client = new Client(address)) {
      CountDownLatch delayed = new CountDownLatch(1);
      while (delayed.getCount() > 0) {
        assertTrue(client.query("").get(0).startsWith("E"), "not ready while an extension is not");
        first.context.post(
            () -> {
              if (first.context.now().toMillis() > 1500) {
                delayed.countDown();
              }
            });
      }
      first.ready = true;
      first.context.post(first.context::stateChanged);
      while (!client.query("").get(0).startsWith("I")) {
        Thread.onSpinWait();
      }
      GatewayConfig reloaded = LoopbackFakes.readConfig(discovery);
      gateway.reload(() -> reloaded);
      gateway.stop();
      CountDownLatch waited = new CountDownLatch(1);
      second.context.post(
          () -> second.context.schedule(second.context.now().plusMillis(1500), waited::countDown));
      assertTrue(waited.await(20, TimeUnit.SECONDS));
      assertFalse(status.isDone(), "it waits for the extension that is not done");
      second.done = true;
      second.context.post(second.context::stateChanged);
      assertEquals(0, status.get(20, TimeUnit.SECONDS));
    }
    assertEquals(
        List.of(
            "first starts",
            "second starts",
            "first reloaded",
            "second reloaded",
            "first drains",
            "second drains",
            "second stops",
            "first stops"),
        calls);
  }
}
