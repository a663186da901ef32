package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.config.GatewayConfig;

/** The requests played before the start. */
class JitWarmUpTest {

  @Test
  void warmUpIsServedAndLogsNothing() {
    GatewayConfig config = TestConfig.read();
    List<String> lines = GatewayHarness.logged(() -> assertTrue(JitWarmUp.play(config, 300) > 270));
    assertEquals(List.of(), lines);
  }
}
