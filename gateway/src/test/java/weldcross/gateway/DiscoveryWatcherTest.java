package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests with {@link DiscoveryModel} that no request is sent to a server whose drain was delivered
 * longer ago than the grace period, and tests the backoff and the time limits of polling.
 */
class DiscoveryWatcherTest {

  private static DiscoveryModel run(long seed, boolean polled) {
    DiscoveryModel model = new DiscoveryModel(seed, polled);
    for (int step = 0; step < 1500; step++) {
      model.step();
    }
    return model;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void noRequestIsSentToDrainedServerIfWatched(long seed) {
    DiscoveryModel model = run(seed, false);
    assertTrue(model.requestsSent > 200, "too few requests: " + model.requestsSent);
    assertTrue(
        model.stepsWithoutValidList > 0 && model.stepsWithoutValidList < 750,
        "no valid list in " + model.stepsWithoutValidList + " steps");
  }

  /** The service shared by all gateways queues and rejects requests. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void noRequestIsSentToDrainedServerIfPolled(long seed) {
    DiscoveryModel model = run(seed, true);
    // A stalled watch is noticed only when it times out, and rejected requests back off.
    assertTrue(
        model.requestsRejected > 20 && model.requestsSent > 100,
        model.requestsRejected + " rejected, " + model.requestsSent + " sent");
    assertTrue(
        model.stepsWithoutValidList > 0 && model.stepsWithoutValidList < 1_200,
        "no valid list in " + model.stepsWithoutValidList + " steps");
  }

  private static void assertServes(GatewayHarness harness, boolean expected) {
    String id = harness.request(harness.connect(), true, 500);
    for (int round = 0; round < 10; round++) {
      harness.busyConnections().forEach(number -> harness.answer(number, null));
      harness.advance(10);
    }
    assertEquals(expected, "ok".equals(harness.history.answers.get(id)));
  }

  private static void rejectRequest(GatewayHarness harness) {
    long connection = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(connection));
    harness.connections.get(connection).takeReceived();
    harness.dispatch(g -> g.discovery().responseReceived(connection, 503, new byte[0]));
  }

  /**
   * Changes known to discovery before the rejection are considered delivered 6 s after the last
   * response, and requests to draining servers end 2 s later.
   */
  @Test
  void listStaysValidForNoticeDeadlineAfterRejection() {
    GatewayHarness harness = GatewayHarness.serving(DiscoveryModel.POLLED);
    harness.discoveryAnswers = false;
    harness.advance(1_000);
    rejectRequest(harness);
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

  /** Hundreds of gateways that repeat requests for the complete list would overload discovery. */
  @Test
  void rejectedRequestsBackOffAndRequestOnlyChanges() {
    GatewayHarness harness = GatewayHarness.serving(DiscoveryModel.POLLED);
    harness.discoveryAnswers = false;
    int requests = 0;
    long previous = 0;
    for (int millis = 0; millis < 10_000; millis += 10) {
      if (harness.discovery != previous) {
        long connection = harness.discovery;
        previous = connection;
        harness.dispatch(g -> g.discovery().connected(connection));
        String request = harness.connections.get(connection).takeReceived();
        assertTrue(requests++ == 0 || request.contains("?since=1&timeout_ms=1 "), request);
        harness.dispatch(g -> g.discovery().responseReceived(connection, 503, new byte[0]));
      }
      harness.advance(10);
    }
    assertTrue(requests >= 5 && requests <= 12, requests + " requests in 10 s");
  }

  /** An abandoned request loses its place in the queue, and its processing is wasted. */
  @Test
  void queuedRequestIsNotAbandoned() {
    GatewayHarness harness = new GatewayHarness(DiscoveryModel.POLLED);
    long connection = harness.discovery;
    harness.dispatch(g -> g.discovery().connected(connection));
    harness.advance(2_500);
    assertEquals(connection, harness.discovery);
    harness.answerNoChange();
    harness.advance(5);
    harness.answerHealthChecks();
    assertServes(harness, true);
    // The response to a watch may be queued for as long after its wait as well.
    harness.advance(12_300);
    assertEquals(connection, harness.discovery);
    harness.advance(1_500);
    assertNotEquals(connection, harness.discovery, "the watch timed out");
  }
}
