package weldcross.chaos;

import java.time.Duration;
import java.util.List;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Scenario;

/** Builder for test scenarios; by default they are small. */
final class TestScenarios {

  static final Duration REPLICA_LAG = Duration.ofMillis(30);

  private String name = "test";
  private Duration duration = Duration.ofSeconds(1);
  private int gateways = 1;
  private int groups = 1;
  private int serversPerGroup = 3;
  private Duration serviceTime = Duration.ofMillis(2);
  private boolean meshEnabled;
  private int voters;
  private String logLevel = "INFO";
  private List<Fault> faults = List.of();

  private TestScenarios() {}

  static TestScenarios scenario() {
    return new TestScenarios();
  }

  TestScenarios name(String newName) {
    name = newName;
    return this;
  }

  TestScenarios duration(Duration newDuration) {
    duration = newDuration;
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

  TestScenarios serviceTime(Duration newServiceTime) {
    serviceTime = newServiceTime;
    return this;
  }

  TestScenarios meshEnabled(boolean enabled) {
    meshEnabled = enabled;
    return this;
  }

  TestScenarios voters(int count) {
    voters = count;
    return this;
  }

  TestScenarios logLevel(String newLogLevel) {
    logLevel = newLogLevel;
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
        duration,
        100,
        gateways,
        groups,
        serversPerGroup,
        REPLICA_LAG,
        serviceTime,
        meshEnabled,
        voters,
        logLevel,
        faults,
        List.of(),
        0);
  }

  /** Creates a fault without a schedule, which the test injects and heals itself. */
  static Fault fault(Fault.Kind kind, String host, String peer, String details) {
    return new Fault(Duration.ZERO, Duration.ZERO, kind, host, peer, details);
  }
}
