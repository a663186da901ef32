package weldcross.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntConsumer;
import weldcross.chaos.history.ChaosRunResult;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.load.LoadGenerator;
import weldcross.chaos.process.Await;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Nemesis;
import weldcross.chaos.scenario.Scenario;
import weldcross.fakes.ReplicatedStoreModel;

/** Runs a scenario: generates load, injects and heals faults on schedule, records the history. */
public final class ChaosRun {

  /** After healing, requests that were held back may still be answered late for this long. */
  private static final Duration RECOVERY_PERIOD = Duration.ofSeconds(3);

  private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(30);
  private static final long MIN_WAIT_NANOS = TimeUnit.MICROSECONDS.toNanos(100);
  private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * End of a fault that is not healed yet; half the range, so that adding a period cannot overflow.
   */
  private static final long UNHEALED = Long.MAX_VALUE / 2;

  /** The scheduled injection or healing of a fault. */
  private record Event(Duration at, boolean injects, Fault fault) {}

  private final Scenario scenario;
  private final ChaosCluster cluster;
  private final FaultInjector injector;
  private final LoadGenerator load;
  private final long startNanos;
  private final List<CompletableFuture<Void>> healingTasks = new ArrayList<>();

  /** Guards {@link #faults} and {@link #restarts}, which asynchronous healing tasks modify. */
  private final Object lock = new Object();

  private final List<History.FaultInterval> faults = new ArrayList<>();
  private final List<String> restarts = new ArrayList<>();

  private ChaosRun(Scenario scenario, ChaosCluster cluster, LoadGenerator load, long startNanos) {
    this.scenario = scenario;
    this.cluster = cluster;
    this.injector = new FaultInjector(cluster);
    this.load = load;
    this.startNanos = startNanos;
  }

  /**
   * Runs a scenario. Before the start, the schedule with all random faults is written to the
   * directory, so that the run can be repeated.
   *
   * @param scenario the scenario to run
   * @param seed seed of the random faults, the load and the proxy's losses
   * @param directory directory of this run, not shared with another; created if absent
   * @param progress receives the number of elapsed seconds
   * @return the history, checked against all rules
   * @throws IOException if a gateway does not start or is not running at the end
   * @throws InterruptedException if the calling thread is interrupted
   */
  public static ChaosRunResult run(
      Scenario scenario, long seed, Path directory, IntConsumer progress)
      throws IOException, InterruptedException {
    Scenario scheduled = scenario.withFaults(new Nemesis(scenario, seed).faults());
    Files.createDirectories(directory);
    Files.writeString(
        directory.resolve("schedule.toml"), "# seed " + seed + "\n" + scheduled.toml());
    try (ChaosCluster cluster = new ChaosCluster(scenario, seed, directory)) {
      cluster.start();
      for (GatewayNode gateway : cluster.gateways()) {
        gateway.copyRecords();
      }
      long startNanos = cluster.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              cluster.gateways().stream().map(GatewayNode::clientAddress).toList(),
              scenario.groups(),
              () -> cluster.clock().nanos() - startNanos,
              seed)) {
        ChaosRun run = new ChaosRun(scheduled, cluster, load, startNanos);
        History history = run.record(progress);
        return new ChaosRunResult(
            scheduled,
            seed,
            history,
            HistoryChecker.check(history),
            List.copyOf(run.restarts),
            directory.toString());
      }
    }
  }

  private History record(IntConsumer progress) throws IOException, InterruptedException {
    load.start(scenario.rate());
    runSchedule(progress);
    for (CompletableFuture<Void> task : healingTasks) {
      task.join();
    }
    Long convergedAfterMillis = scenario.voters() == 0 ? null : awaitConvergence();
    load.stop();
    requireAllRunning();
    return new History(
        load.operations(),
        load.unexpectedMessages(),
        commitsSinceStart(cluster.store(), startNanos),
        readsSinceStart(cluster.store(), startNanos),
        List.copyOf(faults),
        cluster.gateways().stream().flatMap(gateway -> gateway.views().stream()).toList(),
        convergedAfterMillis);
  }

  private List<Event> schedule() {
    List<Event> events = new ArrayList<>();
    for (Fault fault : scenario.faults()) {
      events.add(new Event(fault.at(), true, fault));
      events.add(new Event(fault.healedAt(), false, fault));
    }
    events.sort(Comparator.comparing(Event::at));
    return events;
  }

  private void runSchedule(IntConsumer progress) throws IOException {
    List<Event> events = schedule();
    long end = scenario.duration().toNanos();
    int reportedSeconds = -1;
    for (long now = 0; now < end; now = elapsedNanos()) {
      while (!events.isEmpty() && events.get(0).at().toNanos() <= now) {
        process(events.remove(0));
      }
      int seconds = (int) TimeUnit.NANOSECONDS.toSeconds(now);
      if (seconds > reportedSeconds) {
        reportedSeconds = seconds;
        progress.accept(seconds);
      }
      long next = events.isEmpty() ? end : events.get(0).at().toNanos();
      LockSupport.parkNanos(Math.max(MIN_WAIT_NANOS, Math.min(next - now, MAX_WAIT_NANOS)));
    }
    for (Event event : events) {
      process(event);
    }
  }

  private long elapsedNanos() {
    return cluster.clock().nanos() - startNanos;
  }

  private void process(Event event) throws IOException {
    if (event.injects()) {
      inject(event.fault());
    } else {
      // Asynchronous, because a process restart takes seconds and must not delay other faults.
      healingTasks.add(CompletableFuture.runAsync(() -> heal(event.fault())));
    }
  }

  private void inject(Fault fault) throws IOException {
    long from = elapsedNanos();
    injector.inject(fault);
    synchronized (lock) {
      faults.add(
          new History.FaultInterval(
              from,
              UNHEALED,
              injector.unresponsiveGateways(fault),
              FaultInjector.closingGateways(fault),
              fault.describe()));
    }
  }

  private void heal(Fault fault) {
    try {
      injector.heal(fault, scenario.replicaLag());
      if (fault.kind().isOnGateway() && fault.kind() != Fault.Kind.DISK) {
        awaitRestart(fault);
      }
      markHealed(fault, elapsedNanos());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void awaitRestart(Fault fault) throws IOException {
    GatewayNode gateway = cluster.gateway(fault.host());
    gateway.awaitReady();
    long millis = TimeUnit.NANOSECONDS.toMillis(elapsedNanos());
    synchronized (lock) {
      restarts.add(gateway.name() + " ready again at " + millis + " ms after " + fault.describe());
    }
  }

  private void markHealed(Fault fault, long at) {
    synchronized (lock) {
      for (int index = 0; index < faults.size(); index++) {
        History.FaultInterval interval = faults.get(index);
        if (interval.until() == UNHEALED && interval.description().equals(fault.describe())) {
          faults.set(
              index,
              new History.FaultInterval(
                  interval.from(),
                  at + RECOVERY_PERIOD.toNanos(),
                  interval.unresponsiveGateways(),
                  interval.closingGateways(),
                  interval.description()));
          return;
        }
      }
    }
  }

  /**
   * Waits until all gateways have the same membership view; returns milliseconds, -1 on time-out.
   */
  private long awaitConvergence() {
    long from = System.nanoTime();
    try {
      Await.until(
          "all gateways have the same membership view", CONVERGENCE_TIMEOUT, cluster::hasConverged);
      return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
    } catch (IOException e) {
      return -1;
    }
  }

  private void requireAllRunning() throws IOException {
    for (GatewayNode gateway : cluster.gateways()) {
      if (!gateway.process().isAlive()) {
        throw new IOException(
            gateway.name()
                + " is not running at the end, exit status "
                + gateway.process().exitStatus()
                + ", see "
                + gateway.log());
      }
    }
  }

  /** Returns all writes of a store, with times relative to the start of the load. */
  static List<ReplicatedStoreModel.Commit> commitsSinceStart(
      ReplicatedStoreModel store, long startNanos) {
    return store.commits().stream()
        .map(
            commit ->
                new ReplicatedStoreModel.Commit(
                    commit.at() - startNanos,
                    commit.rpc(),
                    commit.group(),
                    commit.server(),
                    commit.key(),
                    commit.value(),
                    commit.sequence(),
                    commit.connection()))
        .toList();
  }

  /** Returns all reads of a store, with times relative to the start of the load. */
  static List<ReplicatedStoreModel.Read> readsSinceStart(
      ReplicatedStoreModel store, long startNanos) {
    return store.reads().stream()
        .map(
            read ->
                new ReplicatedStoreModel.Read(
                    read.at() - startNanos,
                    read.rpc(),
                    read.group(),
                    read.server(),
                    read.key(),
                    read.position() - startNanos,
                    read.seen()))
        .toList();
  }
}
