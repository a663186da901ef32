package weldcross.chaos.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import weldcross.chaos.history.ChaosRunResult;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker.Rule;
import weldcross.chaos.history.HistoryChecker.Violation;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Scenario;

/** Tests the stored results of runs and the report of a run with a violation. */
class RunStoreTest {

  @TempDir private Path directory;

  private static ChaosRunResult result() {
    Fault fault =
        new Fault(
            Duration.ofSeconds(1), Duration.ofSeconds(2), Fault.Kind.CUT, "n0", "s1", "details");
    Scenario scenario =
        new Scenario(
            "stored",
            "description",
            Duration.ofSeconds(3),
            100,
            2,
            1,
            3,
            Duration.ofMillis(30),
            Duration.ofMillis(4),
            true,
            1,
            "INFO",
            List.of(fault),
            List.of(Fault.Kind.KILL),
            4);
    History.FaultInterval interval =
        new History.FaultInterval(1, 2, List.of("n0"), List.of("n1"), "cut n0 s1");
    History history =
        new History(
            List.of(),
            List.of("message"),
            List.of(),
            List.of(),
            List.of(interval),
            List.of(new History.ReportedView("n0", 1, 2, "n0:1")),
            800L);
    Violation violation = new Violation(Rule.ONE_ANSWER, "request-1", 5, "no answer");
    return new ChaosRunResult(
        scenario, 7, history, List.of(violation), List.of("n0 ready"), "directory");
  }

  private static Set<String> fieldNames(JsonNode node) {
    Set<String> names = new TreeSet<>();
    node.fieldNames().forEachRemaining(names::add);
    return names;
  }

  @Test
  void storedResultIsReadBackUnchanged() throws IOException {
    RunStore.write(result(), directory);
    assertEquals(result(), RunStore.read(directory));
  }

  /** Renamed record components must not change the stored names, which older runs contain. */
  @Test
  void storedFieldNamesAreStable() throws IOException {
    RunStore.write(result(), directory);
    JsonNode stored = new ObjectMapper().readTree(directory.resolve("trial.json").toFile());
    assertEquals(
        Set.of("played", "seed", "evidence", "breaches", "ready", "where"), fieldNames(stored));
    assertEquals(
        Set.of(
            "name",
            "about",
            "lasting",
            "rate",
            "gateways",
            "groups",
            "serversPerGroup",
            "lag",
            "service",
            "linked",
            "voters",
            "log",
            "faults",
            "drawn",
            "draws"),
        fieldNames(stored.at("/played")));
    assertEquals(
        Set.of("at", "lasting", "kind", "on", "to", "how"),
        fieldNames(stored.at("/played/faults/0")));
    assertEquals(
        Set.of("asked", "unasked", "effects", "reads", "troubles", "views", "agreedAfter"),
        fieldNames(stored.at("/evidence")));
    assertEquals(
        Set.of("from", "until", "hosts", "closing", "what"),
        fieldNames(stored.at("/evidence/troubles/0")));
    assertEquals(
        Set.of("gateway", "process", "number", "members"),
        fieldNames(stored.at("/evidence/views/0")));
    assertEquals(Set.of("rule", "rpc", "at", "what"), fieldNames(stored.at("/breaches/0")));
  }

  @Test
  void reportListsViolationsAndFaults() throws IOException {
    String report = Files.readString(RunReport.write(result(), directory));
    assertTrue(report.contains("1 violations."), report);
    assertTrue(report.contains("request request-1"), report);
    assertTrue(report.contains("cut n0 s1"), report);
  }
}
