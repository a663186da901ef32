package weldcross.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SimulatorSessionTest {

  private static String run(String... lines) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    String input = String.join("\n", lines) + "\n";
    new SimulatorSession(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), output)
        .run();
    return output.toString(StandardCharsets.UTF_8);
  }

  @Test
  void eachBatchGetsOneReply() throws IOException {
    assertEquals("YIELD\nYIELD\n", run("BATCH 1", "YOUR_TURN", "", "BATCH 2", "YOUR_TURN"));
  }

  @Test
  void eventsForAbsentInstancesAreSkipped() throws IOException {
    assertEquals("YIELD\n", run("BATCH 1", "ALARM 3 timer", "ARRIVAL 4", "YOUR_TURN"));
  }

  @Test
  void failedInstanceIsReportedAndGetsNoFurtherEvents() throws IOException {
    String reply =
        run(
            "BATCH 1",
            "INIT 3 7 familyInfo.originTime=5",
            "ECHO 3 1 pass nobody -",
            "ALARM 3 timer",
            "YOUR_TURN");
    assertEquals(3, reply.lines().count(), reply);
    assertTrue(reply.startsWith("WAKE_ME 3 timer 250001\nPANIC 3 "), reply);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "ALARM 3 timer",
        "YOUR_TURN",
        "BATCH 1",
        "BATCH 1\n\nYOUR_TURN",
        "BATCH 1\nROSTER 0 2\nROW a 0 0 1 on 1 - 1\nYOUR_TURN",
        "BATCH 1\nALARM\nYOUR_TURN"
      })
  void protocolViolationEndsTheSession(String input) {
    assertThrows(SimulatorProtocolException.class, () -> run(input));
  }
}
