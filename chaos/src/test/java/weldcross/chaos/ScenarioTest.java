package weldcross.chaos;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Nemesis;
import weldcross.chaos.scenario.Scenario;
import weldcross.config.InvalidConfigException;

class ScenarioTest {

  @TempDir private Path folder;

  private Scenario read(String text) throws IOException {
    Path file = folder.resolve("s.toml");
    Files.writeString(file, text);
    return Scenario.read(file.toString());
  }

  @Test
  void seedDrawsTheSameFaultsWhichCanBeRunAgain() throws IOException {
    Scenario nemesis = Scenario.read("chaos/scenarios/nemesis.toml");
    Set<Fault.Kind> kinds = new HashSet<>();
    for (long seed = 1; seed <= 100; seed++) {
      List<Fault> faults = new Nemesis(nemesis, seed).faults();
      assertEquals(faults, new Nemesis(nemesis, seed).faults());
      faults.forEach(f -> kinds.add(f.kind()));
      Scenario again = read(nemesis.with(faults).toml());
      assertEquals(faults, again.faults());
      assertEquals(faults, new Nemesis(again, seed + 1).faults(), "nothing is drawn beside");
    }
    assertEquals(Set.copyOf(nemesis.drawn()), kinds, "every kind is drawn");
    assertNotEquals(new Nemesis(nemesis, 1).faults(), new Nemesis(nemesis, 2).faults());
  }

  @Test
  void scenariosOfTheRepositoryAreValid() throws IOException {
    assertEquals(0, Main.run("list"));
    Scenario baseline = Scenario.read("chaos/scenarios/baseline.toml");
    assertEquals(5, baseline.faults().size());
    assertFalse(baseline.faults().stream().anyMatch(f -> f.at().compareTo(baseline.lasting()) > 0));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "kind = \"kill\" | kind = \"kil\" | fault.0.kind (line 6): found 'kil'",
        "on = \"n1\" | on = \"n5\" | "
            + "fault.0.on (line 7): found 'n5', allowed is a host of the trial, n0 to n1",
        "gateways = 2 | gateways = 99 | gateways (line 2): found '99'",
        "for_ms = 10 | for = 10 | fault.0.for (line 5): found an unknown key",
        "at_ms = 10 | at_ms = 99000 | "
            + "fault.0.at_ms (line 4): found '99000', allowed is a time within the trial"
      })
  void invalidScenarioIsReportedWithKeyAndLine(String from, String to, String said) {
    String text =
        "name = \"x\"\ngateways = 2\n[[fault]]\nat_ms = 10\n"
            + "for_ms = 10\nkind = \"kill\"\non = \"n1\"\n";
    String message =
        assertThrows(InvalidConfigException.class, () -> read(text.replace(from, to))).getMessage();
    assertTrue(message.contains(said), message);
  }
}
