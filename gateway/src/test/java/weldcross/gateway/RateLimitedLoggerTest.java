package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.pgwire.MessageEncoder;

/** Log lines that may come with every request. */
class RateLimitedLoggerTest {

  @Test
  void warningOfEveryRequestIsLoggedOnceASecond() {
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
    List<String> turned = lines.stream().filter(l -> l.contains("request rejected")).toList();
    assertEquals(3, turned.size(), lines.toString());
    assertTrue(turned.get(1).endsWith(" suppressed=9"), turned.get(1));
  }
}
