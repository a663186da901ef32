package weldcross.chaos.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests the generation of soak plans. */
class SoakPlanTest {

  private static final Duration MINUTE = Duration.ofMinutes(1);

  @Test
  void planIsDeterministicPerSeed() {
    assertEquals(SoakPlan.generate(7, MINUTE), SoakPlan.generate(7, MINUTE));
    assertNotEquals(SoakPlan.generate(7, MINUTE).steps(), SoakPlan.generate(8, MINUTE).steps());
  }

  @Test
  void seedsCoverAllKindsAndConnectionBursts() {
    Set<SoakStep.Kind> kinds = EnumSet.noneOf(SoakStep.Kind.class);
    LongStream.range(1, 31)
        .mapToObj(seed -> SoakPlan.generate(seed, MINUTE))
        .forEach(plan -> plan.steps().forEach(step -> kinds.add(step.kind())));
    assertEquals(EnumSet.allOf(SoakStep.Kind.class), kinds);
    assertTrue(SoakPlan.generate(3, MINUTE).hasConnectionBursts());
  }

  @Test
  void stopsCoverSeveralGatewaysAndSeriesOfSignals() {
    assertTrue(
        LongStream.range(1, 11)
            .mapToObj(seed -> SoakPlan.generate(seed, MINUTE))
            .flatMap(plan -> plan.steps().stream())
            .filter(step -> step.kind() == SoakStep.Kind.STOP)
            .anyMatch(step -> step.hosts().size() > 1 && step.times().size() > 1));
  }
}
