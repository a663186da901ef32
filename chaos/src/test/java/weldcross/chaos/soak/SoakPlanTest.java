package weldcross.chaos.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class SoakPlanTest {

  private static final Duration MINUTE = Duration.ofMinutes(1);

  @Test
  void seedDrawsTheSamePlanAgain() {
    assertEquals(SoakPlan.draw(7, MINUTE), SoakPlan.draw(7, MINUTE));
    assertNotEquals(SoakPlan.draw(7, MINUTE).steps(), SoakPlan.draw(8, MINUTE).steps());
  }

  @Test
  void someSeedsHaveACrowdAndAllKindsAreDrawn() {
    Set<SoakStep.Kind> drawn = EnumSet.noneOf(SoakStep.Kind.class);
    LongStream.range(1, 31)
        .mapToObj(seed -> SoakPlan.draw(seed, MINUTE))
        .forEach(plan -> plan.steps().forEach(step -> drawn.add(step.kind())));
    assertEquals(EnumSet.allOf(SoakStep.Kind.class), drawn);
    assertTrue(SoakPlan.draw(3, MINUTE).hasCrowd());
  }

  @Test
  void signalsAlsoGoToSeveralGatewaysAtOnceAndInSeries() {
    assertTrue(
        LongStream.range(1, 11)
            .mapToObj(seed -> SoakPlan.draw(seed, MINUTE))
            .flatMap(plan -> plan.steps().stream())
            .filter(step -> step.kind() == SoakStep.Kind.STOP)
            .anyMatch(step -> step.hosts().size() > 1 && step.times().size() > 1));
  }
}
