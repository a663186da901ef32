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

/** Executes a soak test on gateway processes and records what clients and servers observe. */
public final class SoakRun {

  /** Name of the file in the run directory that contains the plan. */
  static final String PLAN_FILE = "plan.txt";

  private static final Duration REPLICA_LAG = Duration.ofMillis(30);
  private static final Duration SERVICE_TIME = Duration.ofMillis(4);
  private static final int CLIENTS_PER_GATEWAY = 12;

  /** More than a gateway accepts: in this setup it reserves 384 descriptors for clients. */
  private static final int IDLE_CONNECTIONS_PER_GATEWAY = 450;

  /** After a pause, requests that were held back may still be answered late for this long. */
  private static final Duration PAUSE_RECOVERY_PERIOD = Duration.ofSeconds(1);

  private final SoakPlan plan;
  private final ChaosCluster cluster;
  private final FaultInjector injector;
  private final PersistentClients clients;
  private final GatewayStopper stopper;
  private final long startNanos;
  private final ExecutorService executor = Executors.newCachedThreadPool();

  /** The last step of each queue; a step waits for the previous one in its queue. */
  private final Map<String, CompletableFuture<Void>> queues = new TreeMap<>();

  /** Guards the lists below, which concurrent steps modify. */
  private final Object lock = new Object();

  private final List<ProcessExit> exits = new ArrayList<>();
  private final List<SoakObservations.CloseWindow> closeWindows = new ArrayList<>();
  private final List<SoakObservations.Drain> drains = new ArrayList<>();
  private final List<History.FaultInterval> longPauses = new ArrayList<>();
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
   * Executes a plan. The plan is written to the directory before the start.
   *
   * @param plan the plan to execute
   * @param directory directory of this run, not shared with another; created if absent
   * @return the checked result
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
        return new SoakRun(plan, cluster, clients, startNanos).execute();
      }
    }
  }

  private static Scenario scenario(SoakPlan plan) {
    return new Scenario(
        "soak",
        "",
        plan.duration(),
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

  private SoakResult execute() throws IOException, InterruptedException {
    recordUsage(usageAtStart);
    clients.start();
    for (SoakStep step : plan.steps()) {
      waitUntil(step.at());
      CompletableFuture<Void> previous =
          queues.getOrDefault(step.queue(), CompletableFuture.completedFuture(null));
      queues.put(step.queue(), previous.thenRunAsync(() -> executeStep(step), executor));
    }
    waitUntil(plan.duration());
    queues.values().forEach(CompletableFuture::join);
    executor.shutdown();
    clients.stop();
    recordUsage(usageAtEnd);
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
            List.copyOf(longPauses));
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
    return new SoakObservations(history, arrivals, exits, closeWindows, drains);
  }

  private long elapsedNanos() {
    return cluster.clock().nanos() - startNanos;
  }

  private Duration now() {
    return Duration.ofNanos(elapsedNanos());
  }

  private void waitUntil(Duration time) {
    for (Duration left = time.minus(now()); left.toNanos() > 0; left = time.minus(now())) {
      LockSupport.parkNanos(left.toNanos());
    }
  }

  /** Records the resource usage of running processes, and the exit of those that have ended. */
  private void recordUsage(Map<String, ProcessUsage> usage) throws IOException {
    for (GatewayNode gateway : cluster.gateways()) {
      if (gateway.process().isAlive()) {
        usage.put(gateway.name(), ProcessUsage.of(gateway.process()));
      } else {
        int status = gateway.process().exitStatus().orElse(-1);
        recordExit(new ProcessExit(gateway.name(), null, now(), false, status, false));
      }
    }
  }

  private void recordExit(ProcessExit exit) {
    synchronized (lock) {
      exits.add(exit);
      if (exit.sigtermAt() != null) {
        closeWindows.add(
            new SoakObservations.CloseWindow(exit.gateway(), exit.sigtermAt(), exit.endedAt()));
      }
    }
  }

  private void executeStep(SoakStep step) {
    try {
      switch (step.kind()) {
        case CROWD -> openIdleConnections(step);
        case SERVER_HANGS, SERVER_RESTARTS, SERVER_LAGS -> injectServerFault(step);
        case SERVER_DRAINS -> drainServers(step);
        case DISCOVERY_DOWN, DISCOVERY_LATE -> injectDiscoveryFault(step);
        default -> signalGateways(step);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(step.describe(), e);
    }
  }

  private void signalGateways(SoakStep step) {
    List<CompletableFuture<Void>> tasks = new ArrayList<>();
    for (String name : step.hosts()) {
      GatewayNode gateway = cluster.gateway(name);
      tasks.add(CompletableFuture.runAsync(() -> signalGateway(step, gateway), executor));
    }
    tasks.forEach(CompletableFuture::join);
  }

  private void signalGateway(SoakStep step, GatewayNode gateway) {
    try {
      switch (step.kind()) {
        case RELOAD -> reload(gateway, step.times());
        case PAUSE -> pause(gateway, step.times());
        case STOP_WHILE_STARTING -> {
          recordExit(stopper.stop(gateway, List.of(Duration.ZERO), false, false));
          stopper.start(gateway);
          recordAndRestart(stopper.stop(gateway, step.times(), false, true), gateway);
        }
        case STOP_WHEN_READY -> {
          recordExit(stopper.stop(gateway, step.times(), false, false));
          stopper.start(gateway);
          gateway.awaitReady();
          recordAndRestart(stopper.stop(gateway, List.of(Duration.ZERO), false, false), gateway);
        }
        default -> {
          boolean reload = step.kind() == SoakStep.Kind.RELOAD_AND_STOP;
          recordAndRestart(stopper.stop(gateway, step.times(), reload, false), gateway);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(step.describe(), e);
    }
  }

  private void recordAndRestart(ProcessExit exit, GatewayNode gateway) throws IOException {
    recordExit(exit);
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
      if (until - from > SoakPlan.MAX_TOLERATED_PAUSE.toNanos()) {
        synchronized (lock) {
          longPauses.add(
              new History.FaultInterval(
                  from,
                  until + PAUSE_RECOVERY_PERIOD.toNanos(),
                  List.of(gateway.name()),
                  "pause " + gateway.name()));
        }
      }
      LockSupport.parkNanos(time.toNanos());
    }
  }

  private void openIdleConnections(SoakStep step) {
    Duration from = now();
    for (Duration hold : step.times()) {
      try (IdleClients crowd = new IdleClients()) {
        cluster
            .gateways()
            .forEach(
                gateway -> crowd.connect(gateway.directAddress(), IDLE_CONNECTIONS_PER_GATEWAY));
        LockSupport.parkNanos(hold.toNanos());
      }
    }
    synchronized (lock) {
      for (GatewayNode gateway : cluster.gateways()) {
        closeWindows.add(new SoakObservations.CloseWindow(gateway.name(), from, now()));
      }
    }
  }

  private void injectServerFault(SoakStep step) throws IOException {
    Fault.Kind kind =
        switch (step.kind()) {
          case SERVER_HANGS -> Fault.Kind.SERVER_STALL;
          case SERVER_LAGS -> Fault.Kind.LAG;
          default -> Fault.Kind.SERVER_KILL;
        };
    boolean lag = kind == Fault.Kind.LAG;
    String details = lag ? Long.toString(step.times().get(1).toMillis()) : "";
    for (String server : step.hosts()) {
      injectAndHeal(new Fault(step.at(), step.times().get(0), kind, server, "", details));
    }
  }

  private void injectDiscoveryFault(SoakStep step) throws IOException {
    boolean down = step.kind() == SoakStep.Kind.DISCOVERY_DOWN;
    Fault.Kind kind = down ? Fault.Kind.STALL : Fault.Kind.DELAY;
    String delay = down ? "" : Long.toString(step.times().get(1).toMillis());
    injectAndHeal(new Fault(step.at(), step.times().get(0), kind, "discovery", "*", delay));
  }

  private void injectAndHeal(Fault fault) throws IOException {
    injector.inject(fault);
    LockSupport.parkNanos(fault.duration().toNanos());
    injector.heal(fault, REPLICA_LAG);
  }

  private void drainServers(SoakStep step) {
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
