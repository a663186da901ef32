package weldcross.chaos;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import weldcross.chaos.history.History;
import weldcross.chaos.load.IdleClients;
import weldcross.chaos.load.PersistentClients;
import weldcross.chaos.process.ProcessUsage;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Scenario;
import weldcross.chaos.soak.ProcessExit;
import weldcross.chaos.soak.SoakObservations;
import weldcross.chaos.soak.SoakPlan;
import weldcross.chaos.soak.SoakStep;
import weldcross.chaos.soak.SoakVerdict;
import weldcross.fakes.ReplicatedStoreModel;

/** Carries out a soak on processes of the program, and records what clients and servers saw. */
public final class SoakRun {

  /** The file of a run's directory that has its plan. */
  static final String PLAN_FILE = "plan.txt";

  private static final Duration REPLICA_LAG = Duration.ofMillis(30);
  private static final Duration SERVICE_TIME = Duration.ofMillis(4);
  private static final int CLIENTS_PER_GATEWAY = 12;

  /** More than a gateway of this configuration accepts: 384 of its descriptors are for clients. */
  private static final int CROWD_PER_GATEWAY = 450;

  /** Requests that were held while a process stood still are still answered for so long. */
  private static final Duration PAUSE_AFTERMATH = Duration.ofSeconds(1);

  private final SoakPlan plan;
  private final ChaosCluster cluster;
  private final FaultInjector injector;
  private final PersistentClients clients;
  private final GatewayStopper stopper;
  private final long startNanos;
  private final ExecutorService executor = Executors.newCachedThreadPool();

  /** The last step of each lane; steps of one lane wait for those before them. */
  private final Map<String, CompletableFuture<Void>> lanes = new TreeMap<>();

  /** Guards the lists below, which steps write. */
  private final Object lock = new Object();

  private final List<ProcessExit> exits = new ArrayList<>();
  private final List<SoakObservations.CloseWindow> closes = new ArrayList<>();
  private final List<SoakObservations.Drain> drains = new ArrayList<>();
  private final List<History.FaultInterval> excuses = new ArrayList<>();
  private final Map<String, ProcessUsage> usageAtStart = new TreeMap<>();
  private final Map<String, ProcessUsage> usageAtEnd = new TreeMap<>();

  private SoakRun(SoakPlan plan, ChaosCluster cluster, PersistentClients clients, long startNanos) {
    this.plan = plan;
    this.cluster = cluster;
    this.clients = clients;
    this.startNanos = startNanos;
    this.injector = new FaultInjector(cluster);
    this.stopper = new GatewayStopper(clients, this::elapsedNanos);
  }

  /**
   * Carries out a plan, which is written to the directory before it begins.
   *
   * @param plan what to do
   * @param directory of this run alone, created if absent
   * @return what it showed
   * @throws IOException if a gateway is not ready in time
   * @throws InterruptedException if the calling thread is interrupted
   */
  public static SoakResult run(SoakPlan plan, Path directory)
      throws IOException, InterruptedException {
    Files.createDirectories(directory);
    Files.writeString(directory.resolve(PLAN_FILE), plan.describe());
    try (ChaosCluster cluster = new ChaosCluster(scenario(plan), plan.seed(), directory)) {
      cluster.start();
      long startNanos = cluster.clock().nanos();
      try (PersistentClients clients =
          new PersistentClients(
              cluster.gateways().stream().map(GatewayNode::directAddress).toList(),
              CLIENTS_PER_GATEWAY,
              () -> cluster.clock().nanos() - startNanos,
              plan.seed())) {
        return new SoakRun(plan, cluster, clients, startNanos).carryOut();
      }
    }
  }

  private static Scenario scenario(SoakPlan plan) {
    return new Scenario(
        "soak",
        "",
        plan.lasting(),
        1,
        plan.gateways(),
        1,
        SoakPlan.SERVERS,
        REPLICA_LAG,
        SERVICE_TIME,
        false,
        0,
        "FINE",
        List.of(),
        List.of(),
        0);
  }

  private SoakResult carryOut() throws IOException, InterruptedException {
    noteUsage(usageAtStart);
    clients.start();
    for (SoakStep step : plan.steps()) {
      waitUntil(step.at());
      CompletableFuture<Void> before =
          lanes.getOrDefault(step.lane(), CompletableFuture.completedFuture(null));
      lanes.put(step.lane(), before.thenRunAsync(() -> take(step), executor));
    }
    waitUntil(plan.lasting());
    lanes.values().forEach(CompletableFuture::join);
    executor.shutdown();
    clients.stop();
    noteUsage(usageAtEnd);
    SoakVerdict verdict = SoakVerdict.of(observations());
    return new SoakResult(plan, verdict, List.copyOf(exits), usageAtStart, usageAtEnd);
  }

  private SoakObservations observations() {
    ReplicatedStoreModel store = cluster.store();
    History history =
        new History(
            clients.operations(),
            clients.unexpectedMessages(),
            ChaosRun.commitsSinceStart(store, startNanos),
            ChaosRun.readsSinceStart(store, startNanos),
            List.copyOf(excuses));
    List<ReplicatedStoreModel.Arrival> arrivals =
        store.arrivals().stream()
            .map(
                arrival ->
                    new ReplicatedStoreModel.Arrival(
                        arrival.at() - startNanos,
                        arrival.rpc(),
                        arrival.server(),
                        arrival.connection()))
            .toList();
    return new SoakObservations(history, arrivals, exits, closes, drains);
  }

  private long elapsedNanos() {
    return cluster.clock().nanos() - startNanos;
  }

  private Duration now() {
    return Duration.ofNanos(elapsedNanos());
  }

  private void waitUntil(Duration when) {
    for (Duration left = when.minus(now()); left.toNanos() > 0; left = when.minus(now())) {
      LockSupport.parkNanos(left.toNanos());
    }
  }

  /** Notes the usage of all processes; one that has ended by itself is noted as that. */
  private void noteUsage(Map<String, ProcessUsage> usage) throws IOException {
    for (GatewayNode gateway : cluster.gateways()) {
      if (gateway.process().isAlive()) {
        usage.put(gateway.name(), ProcessUsage.of(gateway.process()));
      } else {
        int status = gateway.process().exitStatus().orElse(-1);
        noteExit(new ProcessExit(gateway.name(), null, now(), false, status, false));
      }
    }
  }

  private void noteExit(ProcessExit exit) {
    synchronized (lock) {
      exits.add(exit);
      if (exit.termAt() != null) {
        closes.add(new SoakObservations.CloseWindow(exit.gateway(), exit.termAt(), exit.at()));
      }
    }
  }

  // ---- Steps

  private void take(SoakStep step) {
    try {
      switch (step.kind()) {
        case CROWD -> crowd(step);
        case SERVER_HANGS, SERVER_RESTARTS, SERVER_LAGS -> faultAtServer(step);
        case SERVER_DRAINS -> drain(step);
        case DISCOVERY_DOWN, DISCOVERY_LATE -> faultAtDiscovery(step);
        default -> signalAll(step);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(step.describe(), e);
    }
  }

  private void signalAll(SoakStep step) {
    List<CompletableFuture<Void>> all = new ArrayList<>();
    for (String name : step.hosts()) {
      GatewayNode gateway = cluster.gateway(name);
      all.add(CompletableFuture.runAsync(() -> signal(step, gateway), executor));
    }
    all.forEach(CompletableFuture::join);
  }

  private void signal(SoakStep step, GatewayNode gateway) {
    try {
      switch (step.kind()) {
        case RELOAD -> reload(gateway, step.times());
        case PAUSE -> pause(gateway, step.times());
        case STOP_WHILE_STARTING -> {
          noteExit(stopper.stop(gateway, List.of(Duration.ZERO), false, false));
          stopper.start(gateway);
          restartAfter(stopper.stop(gateway, step.times(), false, true), gateway);
        }
        case STOP_WHEN_READY -> {
          noteExit(stopper.stop(gateway, step.times(), false, false));
          stopper.start(gateway);
          gateway.awaitReady();
          restartAfter(stopper.stop(gateway, List.of(Duration.ZERO), false, false), gateway);
        }
        default -> {
          boolean reload = step.kind() == SoakStep.Kind.RELOAD_AND_STOP;
          restartAfter(stopper.stop(gateway, step.times(), reload, false), gateway);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(step.describe(), e);
    }
  }

  private void restartAfter(ProcessExit exit, GatewayNode gateway) throws IOException {
    noteExit(exit);
    stopper.start(gateway);
    gateway.awaitReady();
  }

  private static void reload(GatewayNode gateway, List<Duration> pauses) throws IOException {
    for (Duration pause : pauses) {
      LockSupport.parkNanos(pause.toNanos());
      gateway.process().hangUp();
    }
  }

  private void pause(GatewayNode gateway, List<Duration> times) throws IOException {
    for (Duration time : times) {
      final long from = elapsedNanos();
      gateway.process().pause();
      LockSupport.parkNanos(time.toNanos());
      gateway.process().resume();
      long until = elapsedNanos();
      if (until - from > SoakPlan.MAX_UNEXCUSED_PAUSE.toNanos()) {
        synchronized (lock) {
          excuses.add(
              new History.FaultInterval(
                  from,
                  until + PAUSE_AFTERMATH.toNanos(),
                  List.of(gateway.name()),
                  "pause " + gateway.name()));
        }
      }
      LockSupport.parkNanos(time.toNanos());
    }
  }

  private void crowd(SoakStep step) {
    Duration from = now();
    for (Duration stay : step.times()) {
      try (IdleClients clients = new IdleClients()) {
        cluster
            .gateways()
            .forEach(each -> clients.connect(each.directAddress(), CROWD_PER_GATEWAY));
        LockSupport.parkNanos(stay.toNanos());
      }
    }
    synchronized (lock) {
      for (GatewayNode gateway : cluster.gateways()) {
        closes.add(new SoakObservations.CloseWindow(gateway.name(), from, now()));
      }
    }
  }

  private void faultAtServer(SoakStep step) throws IOException {
    Fault.Kind kind =
        switch (step.kind()) {
          case SERVER_HANGS -> Fault.Kind.SERVER_STALL;
          case SERVER_LAGS -> Fault.Kind.LAG;
          default -> Fault.Kind.SERVER_KILL;
        };
    boolean lags = kind == Fault.Kind.LAG;
    String details = lags ? Long.toString(step.times().get(1).toMillis()) : "";
    for (String server : step.hosts()) {
      act(new Fault(step.at(), step.times().get(0), kind, server, "", details));
    }
  }

  private void faultAtDiscovery(SoakStep step) throws IOException {
    boolean down = step.kind() == SoakStep.Kind.DISCOVERY_DOWN;
    Fault.Kind kind = down ? Fault.Kind.STALL : Fault.Kind.DELAY;
    String delay = down ? "" : Long.toString(step.times().get(1).toMillis());
    act(new Fault(step.at(), step.times().get(0), kind, "discovery", "*", delay));
  }

  private void act(Fault fault) throws IOException {
    injector.begin(fault);
    LockSupport.parkNanos(fault.lasting().toNanos());
    injector.end(fault, REPLICA_LAG);
  }

  private void drain(SoakStep step) {
    for (String server : step.hosts()) {
      final Duration from = now();
      cluster.publishDraining(cluster.server(server));
      LockSupport.parkNanos(step.times().get(0).toNanos());
      final Duration until = now();
      cluster.publish(cluster.server(server));
      synchronized (lock) {
        drains.add(new SoakObservations.Drain(server, from, until));
      }
    }
  }
}
