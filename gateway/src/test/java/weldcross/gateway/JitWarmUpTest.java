package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;

/** The requests played before the start. */
class JitWarmUpTest {

  @Test
  void warmUpIsServedAndLogsNothing() {
    GatewayConfig terms = GatewayConfig.of(ConfigValues.ofJson(TestConfig.json()));
    List<String> lines = GatewayHarness.logged(() -> assertTrue(JitWarmUp.play(terms, 300) > 270));
    assertEquals(List.of(), lines);
  }
}
