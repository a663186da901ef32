package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;
import weldcross.routing.RouterHarness.Answer;

class RetryPolicyTest {

  /**
   * A retry whose connection is established after the deduplication window would be executed a
   * second time.
   */
  @Test
  void retryThatWaitedForItsConnectionIsSentOnlyWithinTheDeduplicationWindow() {
    RouterHarness harness =
        RouterHarness.withKnownPrimary(
            RoutingConfigs.withWrites(
                Idempotency.IDEMPOTENT_BY_KEY, DeduplicationScope.GROUP, true, true, false));
    String write = harness.arrive(Consistency.WRITE);
    assertTrue(
        harness.isStillEligible(harness.firstInFlight(write)),
        "the first attempt needs no deduplication");
    harness.advance(ms(850));
    harness.end(harness.firstInFlight(write), AttemptOutcome.CONNECTION_LOST);
    harness.advance(ms(30));
    RouterHarness.SentAttempt retry = harness.firstInFlight(write);
    assertTrue(harness.isStillEligible(retry));
    harness.advance(ms(19));
    assertTrue(harness.isStillEligible(retry));
    harness.advance(ms(1));
    assertFalse(harness.isStillEligible(retry), "900 ms after the first send");
  }

  @Test
  void writeThatMayHaveBeenExecutedFailsAtOnce() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    String write = harness.arrive(Consistency.WRITE);
    harness.end(harness.firstInFlight(write), AttemptOutcome.CONNECTION_LOST);
    assertEquals(Answer.FAILED, harness.requests.get(write).answer);
  }

  @Test
  void writeThatWasNotExecutedWaitsForThePrimary() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    String write = harness.arrive(Consistency.WRITE);
    harness.server(0).primary = false;
    harness.end(harness.firstInFlight(write), AttemptOutcome.INELIGIBLE);
    for (RouterHarness.SentAttempt sent = harness.firstInFlight(write);
        sent != null;
        sent = findInFlight(harness, write)) {
      harness.end(sent, AttemptOutcome.INELIGIBLE);
    }
    assertNull(harness.requests.get(write).answer);
    harness.server(2).primary = true;
    harness.report(harness.server(2), harness.now);
    assertEquals("s2", harness.firstInFlight(write).serverName());
  }

  private static RouterHarness.SentAttempt findInFlight(RouterHarness harness, String request) {
    List<RouterHarness.SentAttempt> sent = harness.requests.get(request).inFlight;
    return sent.isEmpty() ? null : sent.get(0);
  }

  private static RequestState request(Idempotency idempotency, DeduplicationScope scope) {
    RequestClass requestClass =
        new RequestClass(Consistency.WRITE, ms(400), idempotency, scope, ms(900), ms(400), 1, 0.5);
    RequestId id = new RequestId("r");
    return new RequestState(
        id, 0, requestClass, new ReplicaGroup(), null, null, false, ms(0), ms(1500), 0);
  }

  private static EndpointState endpoint(int zone) {
    return new EndpointState(new ServerId("s"), new ReplicaGroup(), new ZoneId(zone), 0, 1);
  }

  private static RetryPolicy policy() {
    return new RetryPolicy(
        RoutingConfigs.withWrites(
            Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, true, false));
  }

  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT, true, true, true",
    "IDEMPOTENT_BY_KEY, true, true, false",
    "NON_IDEMPOTENT, true, false, false"
  })
  void requestMayBeRetriedAsItsIdempotencyAllows(
      Idempotency idempotency, boolean unsent, boolean withinWindow, boolean afterWindow) {
    RequestState request = request(idempotency, DeduplicationScope.GROUP);
    assertEquals(unsent, policy().maySend(ms(0), request));
    request.attempts.add(new Attempt(request, endpoint(0), 0, ms(0), 0.1, false));
    request.mayHaveExecuted = true;
    assertEquals(withinWindow, policy().maySend(ms(899), request));
    assertEquals(afterWindow, policy().maySend(ms(900), request));
  }

  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT, GROUP, true",
    "IDEMPOTENT_BY_KEY, ALL, true",
    "IDEMPOTENT_BY_KEY, ZONE, false",
    "IDEMPOTENT_BY_KEY, GROUP, false",
    "NON_IDEMPOTENT, ALL, false"
  })
  void clientMayRetryAnExecutedRequestOnlyIfAllServersDeduplicateIt(
      Idempotency idempotency, DeduplicationScope scope, boolean expected) {
    RequestState request = request(idempotency, scope);
    assertTrue(policy().isSafeForClientToRetry(request), "the request was not executed");
    request.mayHaveExecuted = true;
    assertEquals(expected, policy().isSafeForClientToRetry(request));
  }

  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT_BY_KEY, ZONE, 0, true",
    "IDEMPOTENT_BY_KEY, ZONE, 1, false",
    "IDEMPOTENT_BY_KEY, GROUP, 1, true",
    "IDEMPOTENT, ZONE, 1, true"
  })
  void retryIsDeduplicatedWithinItsScope(
      Idempotency idempotency, DeduplicationScope scope, int zone, boolean expected) {
    RequestState request = request(idempotency, scope);
    assertTrue(policy().canDeduplicate(request, endpoint(zone)), "no attempt was sent yet");
    request.attempts.add(new Attempt(request, endpoint(0), 0, ms(0), 0.1, false));
    assertEquals(expected, policy().canDeduplicate(request, endpoint(zone)));
  }

  @Test
  void hedgedAttemptsAreLimitedToABudgetThatGrowsWithSuccesses() {
    RetryPolicy policy = policy();
    RequestState request = request(Idempotency.IDEMPOTENT, DeduplicationScope.GROUP);
    assertTrue(policy.mayHedge(request));
    policy.recordHedges(1);
    assertFalse(policy.mayHedge(request));
    for (int success = 0; success < 11; success++) {
      policy.recordSuccess();
    }
    assertTrue(policy.mayHedge(request));
    request.attemptsInFlight = 2;
    assertFalse(policy.mayHedge(request), "two attempts are in flight");
  }
}
