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

  /** Random events under a random configuration; the harness checks the rules at every action. */
  @ParameterizedTest
  @ValueSource(
      longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
  void rulesHoldThroughRandomEvents(long seed) {
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
    for (int k = 0; k < 6; k++) {
      RouterHarness.Server server = new RouterHarness.Server(k, k / 3);
      server.listedStatus = EndpointStatus.ACTIVE;
      server.primary = k % 3 == 0;
      harness.servers.put(server.id.name(), server);
    }
    harness.publishEndpointList();
    for (int k = 0; k < 6000; k++) {
      harness.randomStep(random);
    }
    harness.advance(RouterHarness.DEADLINE.plus(ms(50)));
    assertTrue(
        harness.requests.values().stream().allMatch(e -> e.answers > 0),
        "rule 1: one had no answer");
    assertTrue(harness.requests.values().stream().filter(e -> e.answer == Answer.OK).count() > 50);
  }

  @Test
  void sameEventsGiveTheSameActions() {
    List<List<String>> lives = new ArrayList<>();
    for (int k = 0; k < 2; k++) {
      RouterHarness harness = RouterHarness.withKnownPrimary();
      SplittableRandom random = new SplittableRandom(3);
      List<String> sent = new ArrayList<>();
      for (int n = 0; n < 1500; n++) {
        harness.arrive(Consistency.values()[random.nextInt(5)]);
        harness.inFlight.forEach(s -> sent.add(s.request() + s.serverName()));
        harness.advance(ms(random.nextInt(9)));
        new ArrayList<>(harness.inFlight)
            .stream().skip(2).forEach(s -> harness.end(s, AttemptOutcome.OK));
      }
      lives.add(sent);
    }
    assertEquals(lives.get(0), lives.get(1));
  }
}
