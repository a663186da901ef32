package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Rule 3, by {@link DiscoveryModel}: no server gets requests whose drain was notified longer ago
 * than the grace period.
 */
class DiscoveryWatcherTest {

  private static DiscoveryModel play(long seed, boolean polled) {
    DiscoveryModel model = new DiscoveryModel(seed, polled);
    for (int step = 0; step < 1500; step++) {
      model.step();
    }
    return model;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void noRequestIsSentToServerAfterItsDrainIfWatched(long seed) {
    DiscoveryModel model = play(seed, false);
    assertTrue(model.requestsSent > 200, "too few requests: " + model.requestsSent);
    assertTrue(
        model.stepsWithoutValidList > 0 && model.stepsWithoutValidList < 750,
        "no valid list in " + model.stepsWithoutValidList + " steps");
  }

  /** Requests to the one service of all gateways are queued and rejected. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void noRequestIsSentToServerAfterItsDrainIfPolled(long seed) {
    DiscoveryModel model = play(seed, true);
    // A mute watch is noticed only at its end, and a rejected request backs off.
    assertTrue(
        model.requestsRejected > 20 && model.requestsSent > 100,
        model.requestsRejected + " rejected, " + model.requestsSent + " sent");
    assertTrue(
        model.stepsWithoutValidList > 0 && model.stepsWithoutValidList < 1_200,
        "no valid list in " + model.stepsWithoutValidList + " steps");
  }

  private static void assertServes(GatewayHarness harness, boolean expected) {
    String id = harness.request(harness.connect(), true, 500);
    for (int k = 0; k < 10; k++) {
      harness.busyConnections().forEach(l -> harness.answer(l, null));
      harness.advance(10);
    }
    assertEquals(expected, "ok".equals(harness.history.answers.get(id)));
  }

  private static void reject(GatewayHarness harness) {
    long link = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(link));
    harness.connections.get(link).takeReceived();
    harness.dispatch(g -> g.discovery().responseReceived(link, 503, new byte[0]));
  }

  /**
   * What discovery knew before the rejection counts as notified 6 s after the last answer, and
   * requests to draining servers end 2 s later.
   */
  @Test
  void listStaysValidForNoticeDeadlineAfterRejection() {
    GatewayHarness harness = GatewayHarness.serving(DiscoveryModel.POLLED);
    harness.discoveryAnswers = false;
    harness.advance(1_000);
    reject(harness);
    harness.advance(6_000);
    assertServes(harness, true);
    harness.advance(2_000);
    assertServes(harness, false);
    while (harness.connections.get(harness.discovery).dropped) {
      harness.advance(10);
    }
    harness.dispatch(g -> g.discovery().connected(harness.discovery));
    harness.answerNoChange();
    assertServes(harness, true);
  }

  /** Hundreds of gateways that repeat requests for the complete list would keep discovery busy. */
  @Test
  void rejectedRequestsBackOffAndAskForChangesAlone() {
    GatewayHarness harness = GatewayHarness.serving(DiscoveryModel.POLLED);
    harness.discoveryAnswers = false;
    int requests = 0;
    long before = 0;
    for (int ms = 0; ms < 10_000; ms += 10) {
      if (harness.discovery != before) {
        before = harness.discovery;
        harness.dispatch(g -> g.discovery().connected(harness.discovery));
        String request = harness.connections.get(before).takeReceived();
        assertTrue(requests++ == 0 || request.contains("?since=1&timeout_ms=1 "), request);
        long link = before;
        harness.dispatch(g -> g.discovery().responseReceived(link, 503, new byte[0]));
      }
      harness.advance(10);
    }
    assertTrue(requests >= 5 && requests <= 12, requests + " requests in 10 s");
  }

  /** An abandoned request loses its place in the queue, and the work on it is in vain. */
  @Test
  void queuedRequestIsNotAbandoned() {
    GatewayHarness harness = new GatewayHarness(DiscoveryModel.POLLED);
    long link = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(link));
    harness.advance(2_500);
    assertEquals(link, harness.discovery);
    harness.answerNoChange();
    harness.advance(5);
    harness.answerHealthChecks();
    assertServes(harness, true);
    // The answer to a watch may come so long after its wait as well.
    harness.advance(12_300);
    assertEquals(link, harness.discovery);
    harness.advance(1_500);
    assertNotEquals(link, harness.discovery, "the watch timed out");
  }
}
