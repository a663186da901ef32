package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how load reports of servers are processed. */
class ServerReportsTest {

  /** Guards against a malformed report that ends the gateway or makes its server ineligible. */
  @Test
  void invalidLoadReportsAreIgnored() {
    GatewayHarness harness = GatewayHarness.withEndpointList();
    harness.advance(5);
    List<String> invalidReports =
        List.of(
            "x0=1e999999999,x1=1",
            "x0=1e-999999999,x1=1",
            "x0=9e18,x1=1",
            "x0=" + (GatewayHarness.START_UNIX_MILLIS / 1000 + 9) + ",x1=1",
            "x0=1,x1=",
            "x0",
            "=",
            ",,,",
            "x0=-99,x1=1e99999");
    for (String report : invalidReports) {
      harness
          .busyConnections()
          .forEach(healthCheck -> harness.answerRow(healthCheck, report, "SHOW"));
      harness.advance(3000);
    }
    String read = harness.request(harness.connect(), false, 900);
    harness.advance(40);
    harness.answerHealthChecks();
    harness.answer(harness.connectionOf(read), null);
    assertEquals("ok", harness.history.answers.get(read));
  }
}
