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

/** One run of a scenario: load, faults at their times, healing, and the history of all of it. */
public final class ChaosRun {

  /** After a process is ready or a path open again, calls that were held are still answered. */
  private static final Duration AFTERMATH = Duration.ofSeconds(3);

  private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(30);
  private static final long MIN_WAIT_NANOS = TimeUnit.MICROSECONDS.toNanos(100);
  private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** The end of a fault that is not healed yet. */
  private static final long UNHEALED = Long.MAX_VALUE / 2;

  /** A fault begins or ends. */
  private record Step(Duration at, boolean begins, Fault fault) {}

  private final Scenario scenario;
  private final ChaosCluster cluster;
  private final FaultInjector injector;
  private final LoadGenerator load;
  private final long startNanos;
  private final List<CompletableFuture<Void>> healing = new ArrayList<>();

  /** Guards {@link #faults} and {@link #restarts}, which healing tasks write. */
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
   * Runs a scenario; its schedule is written to the directory before it begins, to be run again.
   *
   * @param scenario what to run
   * @param seed of the faults drawn, the load and the proxy's losses
   * @param directory of this run alone, created if absent
   * @param progress is given how many seconds are over
   * @return its history, checked against all rules
   * @throws IOException if a gateway doesn't start, or is not there at the end
   * @throws InterruptedException if the calling thread is interrupted
   */
  public static ChaosRunResult run(
      Scenario scenario, long seed, Path directory, IntConsumer progress)
      throws IOException, InterruptedException {
    Scenario scheduled = scenario.with(new Nemesis(scenario, seed).faults());
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
    for (CompletableFuture<Void> each : healing) {
      each.join();
    }
    Long convergedAfterMillis = scenario.voters() == 0 ? null : awaitConvergence();
    load.stop();
    requireAllAlive();
    return new History(
        load.operations(),
        load.unexpectedMessages(),
        commitsSinceStart(cluster.store(), startNanos),
        readsSinceStart(cluster.store(), startNanos),
        List.copyOf(faults),
        cluster.gateways().stream().flatMap(gateway -> gateway.views().stream()).toList(),
        convergedAfterMillis);
  }

  private List<Step> schedule() {
    List<Step> steps = new ArrayList<>();
    for (Fault fault : scenario.faults()) {
      steps.add(new Step(fault.at(), true, fault));
      steps.add(new Step(fault.until(), false, fault));
    }
    steps.sort(Comparator.comparing(Step::at));
    return steps;
  }

  private void runSchedule(IntConsumer progress) throws IOException {
    List<Step> steps = schedule();
    long end = scenario.lasting().toNanos();
    int reportedSeconds = -1;
    for (long now = 0; now < end; now = elapsedNanos()) {
      while (!steps.isEmpty() && steps.get(0).at().toNanos() <= now) {
        take(steps.remove(0));
      }
      int seconds = (int) TimeUnit.NANOSECONDS.toSeconds(now);
      if (seconds > reportedSeconds) {
        reportedSeconds = seconds;
        progress.accept(seconds);
      }
      long next = steps.isEmpty() ? end : steps.get(0).at().toNanos();
      LockSupport.parkNanos(Math.max(MIN_WAIT_NANOS, Math.min(next - now, MAX_WAIT_NANOS)));
    }
    for (Step step : steps) {
      take(step);
    }
  }

  private long elapsedNanos() {
    return cluster.clock().nanos() - startNanos;
  }

  private void take(Step step) throws IOException {
    if (step.begins()) {
      begin(step.fault());
    } else {
      // A process that stops or starts takes its time; other faults go on meanwhile.
      healing.add(CompletableFuture.runAsync(() -> heal(step.fault())));
    }
  }

  private void begin(Fault fault) throws IOException {
    long from = elapsedNanos();
    injector.begin(fault);
    synchronized (lock) {
      faults.add(
          new History.FaultInterval(
              from,
              UNHEALED,
              injector.excusedGateways(fault),
              FaultInjector.closingGateways(fault),
              fault.describe()));
    }
  }

  private void heal(Fault fault) {
    try {
      injector.end(fault, scenario.lag());
      if (fault.kind().isOnGateway() && fault.kind() != Fault.Kind.DISK) {
        awaitRestart(fault);
      }
      markHealed(fault, elapsedNanos());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void awaitRestart(Fault fault) throws IOException {
    GatewayNode gateway = cluster.gateway(fault.on());
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
                  at + AFTERMATH.toNanos(),
                  interval.hosts(),
                  interval.closing(),
                  interval.description()));
          return;
        }
      }
    }
  }

  /** Milliseconds from now until all gateways hold one view of all; -1 if that does not come. */
  private long awaitConvergence() {
    long from = System.nanoTime();
    try {
      Await.until("all hold one view of all", CONVERGENCE_TIMEOUT, cluster::hasConverged);
      return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
    } catch (IOException e) {
      return -1;
    }
  }

  private void requireAllAlive() throws IOException {
    for (GatewayNode gateway : cluster.gateways()) {
      if (!gateway.process().isAlive()) {
        throw new IOException(
            gateway.name()
                + " is not there at the end, status "
                + gateway.process().exitStatus()
                + ", see "
                + gateway.log());
      }
    }
  }

  /** Returns all writes of a store, their times counted from the start of the load. */
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

  /** Returns all reads of a store, their times counted from the start of the load. */
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
