package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.chaos.history.HistoryChecker.Rule;
import weldcross.chaos.history.HistoryChecker.Violation;
import weldcross.chaos.process.Await;
import weldcross.chaos.soak.SoakPlan;

/** Short soak tests; long ones are started from the command line. */
@Timeout(180)
class SoakRunTest {

  @RegisterExtension final RunDirectory runDirectory = new RunDirectory();

  /** Seed 3 includes bursts of idle connections. */
  @ParameterizedTest
  @ValueSource(longs = {2, 3})
  void signalsAndFaultsCauseNoViolation(long seed) throws Exception {
    SoakPlan plan = SoakPlan.generate(seed, Duration.ofSeconds(24));
    SoakResult result = SoakRun.run(plan, runDirectory.path().resolve("soak"));
    System.out.println(result.describe());
    assertEquals(List.of(), result.verdict().violations());
  }

  private static String readLog(Path log) {
    try {
      return Files.exists(log) ? Files.readString(log) : "";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A gateway process is killed outside the plan; its exit and its lost requests are found. */
  @Test
  void unexpectedProcessExitIsFound() throws Exception {
    SoakPlan emptyPlan = new SoakPlan(1, Duration.ofSeconds(6), 2, List.of());
    CompletableFuture<SoakResult> soak =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return SoakRun.run(emptyPlan, runDirectory.path().resolve("soak"));
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    Path log = runDirectory.path().resolve("soak/n1/log");
    Await.until("n1 serves", Duration.ofSeconds(30), () -> readLog(log).contains("attempt ended"));
    ProcessHandle.current()
        .descendants()
        .filter(child -> child.info().commandLine().orElse("").contains(" serve "))
        .findFirst()
        .orElseThrow()
        .destroyForcibly();
    SoakResult result = soak.get();
    Set<Rule> violated =
        result.verdict().violations().stream().map(Violation::rule).collect(Collectors.toSet());
    assertTrue(violated.contains(Rule.PROCESS_RUNS), result.describe());
    assertTrue(violated.contains(Rule.ONE_ANSWER), result.describe());
  }
}
