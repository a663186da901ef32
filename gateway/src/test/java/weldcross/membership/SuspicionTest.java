package weldcross.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.mesh.PeerName;

class SuspicionTest {

  private static final Duration SINCE = Duration.ofSeconds(100);
  private static final FailureDetectorConfig CONFIG =
      FailureDetectorConfig.defaults(new PeerName("self"), List.of(), "", 1);

  private final Suspicion suspicion = new Suspicion(SINCE, new PeerName("a"));

  @Test
  void unconfirmedSuspicionLastsTheMaximum() {
    // 4 intervals of one second times a factor of 6; log10 of ten members is 1.
    assertEquals(SINCE.plusSeconds(24), suspicion.deadline(CONFIG, 10));
  }

  @Test
  void fullyConfirmedSuspicionLastsTheMinimum() {
    for (String reporter : List.of("b", "c", "d")) {
      assertTrue(suspicion.confirm(new PeerName(reporter), CONFIG.indirectProbes()));
    }
    assertEquals(SINCE.plusSeconds(4), suspicion.deadline(CONFIG, 10));
  }

  @Test
  void suspicionLastsLongerInLargerClusters() {
    assertEquals(SINCE.plusSeconds(48), suspicion.deadline(CONFIG, 100));
  }

  @Test
  void eachReporterCountsOnceUpToTheLimit() {
    assertFalse(suspicion.confirm(new PeerName("a"), 3));
    assertTrue(suspicion.confirm(new PeerName("b"), 1));
    assertFalse(suspicion.confirm(new PeerName("c"), 1));
  }
}
