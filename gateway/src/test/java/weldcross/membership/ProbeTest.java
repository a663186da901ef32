package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldcross.mesh.PeerName;

class ProbeTest {

  private static final Duration INDIRECT_AT = Duration.ofMillis(400);
  private static final Duration DEADLINE = Duration.ofSeconds(1);

  private final Probe probe = new Probe(new PeerName("target"), INDIRECT_AT, DEADLINE, List.of());

  @Test
  void unansweredProbeNeedsIndirectProbesOnceAndThenExpires() {
    assertFalse(probe.needsIndirectProbes(INDIRECT_AT.minusMillis(1)));
    assertTrue(probe.needsIndirectProbes(INDIRECT_AT));
    assertEquals(INDIRECT_AT, probe.nextDeadline());
    probe.indirectProbesStarted();
    assertFalse(probe.needsIndirectProbes(INDIRECT_AT));
    assertEquals(DEADLINE, probe.nextDeadline());
    assertFalse(probe.isExpired(DEADLINE.minusMillis(1)));
    assertTrue(probe.isExpired(DEADLINE));
  }

  @Test
  void ackedProbeIsCheckedAtItsDeadline() {
    probe.recordAck();
    assertTrue(probe.isAcked());
    assertEquals(DEADLINE, probe.nextDeadline());
  }

  /** A live relay sends an ack or a nack; each one that sends neither adds a point. */
  @ParameterizedTest
  @CsvSource({"0, 0, 1", "0, 1, 1", "3, 0, 3", "3, 2, 1", "3, 3, 0", "2, 3, 0"})
  void healthPenaltyCountsUnresponsiveRelays(int requests, int nacks, int expected) {
    for (int k = 0; k < requests; k++) {
      probe.recordPingRequest();
    }
    for (int k = 0; k < nacks; k++) {
      probe.recordNack();
    }
    assertEquals(expected, probe.healthPenalty());
  }
}
