package weldcross.chaos;

import java.time.Duration;
import java.util.List;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Scenario;

/** Builds the scenarios of tests; what is not set is small. */
final class TestScenarios {

  static final Duration LAG = Duration.ofMillis(30);

  private String name = "test";
  private Duration lasting = Duration.ofSeconds(1);
  private int gateways = 1;
  private int groups = 1;
  private int serversPerGroup = 3;
  private Duration service = Duration.ofMillis(2);
  private boolean linked;
  private int voters;
  private String log = "INFO";
  private List<Fault> faults = List.of();

  private TestScenarios() {}

  static TestScenarios scenario() {
    return new TestScenarios();
  }

  TestScenarios name(String newName) {
    name = newName;
    return this;
  }

  TestScenarios lasting(Duration newLasting) {
    lasting = newLasting;
    return this;
  }

  TestScenarios gateways(int count) {
    gateways = count;
    return this;
  }

  TestScenarios servers(int newGroups, int newServersPerGroup) {
    groups = newGroups;
    serversPerGroup = newServersPerGroup;
    return this;
  }

  TestScenarios service(Duration newService) {
    service = newService;
    return this;
  }

  TestScenarios linked(boolean on) {
    linked = on;
    return this;
  }

  TestScenarios voters(int count) {
    voters = count;
    return this;
  }

  TestScenarios log(String level) {
    log = level;
    return this;
  }

  TestScenarios faults(Fault... newFaults) {
    faults = List.of(newFaults);
    return this;
  }

  Scenario build() {
    return new Scenario(
        name,
        "",
        lasting,
        100,
        gateways,
        groups,
        serversPerGroup,
        LAG,
        service,
        linked,
        voters,
        log,
        faults,
        List.of(),
        0);
  }

  /** A fault that tests begin and end themselves. */
  static Fault fault(Fault.Kind kind, String on, String to, String how) {
    return new Fault(Duration.ZERO, Duration.ZERO, kind, on, to, how);
  }
}
