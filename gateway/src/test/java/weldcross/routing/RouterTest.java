package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;
import weldcross.routing.RouterHarness.Answer;

class RouterTest {

  /**
   * Random events with a random configuration; the harness checks the invariants at every action.
   */
  @ParameterizedTest
  @ValueSource(
      longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
  void invariantsHoldUnderRandomEvents(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Idempotency idempotency = Idempotency.values()[random.nextInt(3)];
    DeduplicationScope scope = DeduplicationScope.values()[random.nextInt(3)];
    RouterHarness harness =
        new RouterHarness(
            RoutingConfigs.withWrites(
                idempotency,
                scope,
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextBoolean()),
            seed);
    for (int i = 0; i < 6; i++) {
      RouterHarness.Server server = new RouterHarness.Server(i, i / 3);
      server.listedStatus = EndpointStatus.ACTIVE;
      server.primary = i % 3 == 0;
      harness.servers.put(server.id.name(), server);
    }
    harness.publishEndpointList();
    for (int i = 0; i < 6000; i++) {
      harness.randomStep(random);
    }
    harness.advance(RouterHarness.DEADLINE.plus(ms(50)));
    assertTrue(
        harness.requests.values().stream().allMatch(tracked -> tracked.answerCount > 0),
        "a request was never answered");
    assertTrue(
        harness.requests.values().stream().filter(tracked -> tracked.answer == Answer.OK).count()
            > 50);
  }

  @Test
  void sameEventsResultInTheSameAttempts() {
    List<List<String>> runs = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      RouterHarness harness = RouterHarness.withKnownPrimary();
      SplittableRandom random = new SplittableRandom(3);
      List<String> sentAttempts = new ArrayList<>();
      for (int step = 0; step < 1500; step++) {
        harness.arrive(Consistency.values()[random.nextInt(5)]);
        harness.inFlight.forEach(
            attempt -> sentAttempts.add(attempt.request() + attempt.serverName()));
        harness.advance(ms(random.nextInt(9)));
        new ArrayList<>(harness.inFlight)
            .stream().skip(2).forEach(sent -> harness.end(sent, AttemptOutcome.OK));
      }
      runs.add(sentAttempts);
    }
    assertEquals(runs.get(0), runs.get(1));
  }
}
