package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.pgwire.MessageEncoder;

/** Rate limiting of log messages that may occur with every request. */
class RateLimitedLoggerTest {

  @Test
  void repeatedWarningIsLoggedOncePerSecondWithTheSuppressedCount() {
    GatewayHarness harness = GatewayHarness.serving();
    long client = harness.connect();
    List<String> lines =
        GatewayHarness.logged(
            () -> {
              for (int k = 0; k < 30; k++) {
                harness.send(client, MessageEncoder.query("SELECT 1"));
                harness.advance(100);
              }
            });
    List<String> warnings =
        lines.stream().filter(line -> line.contains("request rejected")).toList();
    assertEquals(3, warnings.size(), lines.toString());
    assertTrue(warnings.get(1).endsWith(" suppressed=9"), warnings.get(1));
  }
}
