package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.config.GatewayConfig;

/** The warm-up requests before the start. */
class JitWarmUpTest {

  @Test
  void warmUpRequestsAreServedAndLogNothing() {
    GatewayConfig config = TestConfig.read();
    List<String> lines = GatewayHarness.logged(() -> assertTrue(JitWarmUp.run(config, 300) > 270));
    assertEquals(List.of(), lines);
  }
}
