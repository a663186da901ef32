package weldcross.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.Stream;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.load.LoadGenerator;
import weldcross.chaos.process.ManagedProcess;
import weldcross.chaos.scenario.Fault;
import weldcross.chaos.scenario.Nemesis;
import weldcross.chaos.scenario.Scenario;
import weldcross.fakes.ReplicatedStoreModel;

/** One play of a scenario: load, faults in their time, healing, and the evidence of all of it. */
public final class ChaosRun {

  /** After a process serves again or a way is free, calls that were held are still answered. */
  private static final Duration SETTLES = Duration.ofSeconds(3);

  /**
   * What came of it.
   *
   * @param played the scenario with all faults written down
   * @param ready when each start of a gateway after the first was ready, by name, since the load
   *     began
   */
  public record Result(
      Scenario played,
      long seed,
      History evidence,
      List<HistoryChecker.Breach> breaches,
      List<String> ready,
      String where) {

    public boolean isClean() {
      return breaches.isEmpty();
    }
  }

  private record Step(Duration at, boolean begins, Fault fault) {}

  private static final Duration AGREES_WITHIN = Duration.ofSeconds(30);

  private ChaosRun() {}

  /**
   * Plays it; the schedule is written down before it begins, to be played again.
   *
   * @param directory of this trial alone
   * @param progress told how many seconds of it are over
   */
  public static Result play(
      Scenario scenario, long seed, Path directory, Consumer<Integer> progress)
      throws IOException, InterruptedException {
    List<Fault> faults = new Nemesis(scenario, seed).faults();
    Scenario played = scenario.with(faults);
    Files.createDirectories(directory);
    Files.writeString(directory.resolve("schedule.toml"), "# seed " + seed + "\n" + played.toml());
    try (ChaosCluster ground = new ChaosCluster(scenario, seed, directory)) {
      ground.start();
      for (ChaosCluster.Gateway each : ground.gateways()) {
        each.keepCopy();
      }
      long zero = ground.clock().nanos();
      try (LoadGenerator load =
          new LoadGenerator(
              ground.gateways().stream().map(ChaosCluster.Gateway::address).toList(),
              scenario.groups(),
              () -> ground.clock().nanos() - zero,
              seed)) {
        return new ChaosRun().run(played, seed, ground, load, zero, progress, directory);
      }
    }
  }

  private final List<History.Trouble> troubles = new ArrayList<>();
  private final List<String> ready = new ArrayList<>();
  private final List<CompletableFuture<Void>> healing = new ArrayList<>();

  private Result run(
      Scenario played,
      long seed,
      ChaosCluster ground,
      LoadGenerator load,
      long zero,
      Consumer<Integer> progress,
      Path directory)
      throws IOException, InterruptedException {
    List<Step> steps = new ArrayList<>();
    for (Fault each : played.faults()) {
      steps.add(new Step(each.at(), true, each));
      steps.add(new Step(each.until(), false, each));
    }
    steps.sort(Comparator.comparing(Step::at));
    FaultInjector havoc = new FaultInjector(ground);
    load.begin(played.rate());
    int told = -1;
    for (long now = 0; now < played.lasting().toNanos(); ) {
      while (!steps.isEmpty() && steps.get(0).at().toNanos() <= now) {
        step(steps.remove(0), played, ground, havoc, zero);
      }
      if (now / 1_000_000_000L > told) {
        told = (int) (now / 1_000_000_000L);
        progress.accept(told);
      }
      long next = steps.isEmpty() ? played.lasting().toNanos() : steps.get(0).at().toNanos();
      LockSupport.parkNanos(Math.max(100_000, Math.min(next - now, 50_000_000)));
      now = ground.clock().nanos() - zero;
    }
    for (Step left : steps) {
      step(left, played, ground, havoc, zero);
    }
    for (CompletableFuture<Void> each : healing) {
      each.join();
    }
    Long agreedAfter = played.voters() == 0 ? null : agreed(ground);
    load.end();
    for (ChaosCluster.Gateway each : ground.gateways()) {
      if (!each.child().isAlive()) {
        throw new IOException(
            each.name()
                + " is not there at the end, status "
                + each.child().status()
                + ", see "
                + each.log());
      }
    }
    History evidence =
        new History(
            load.asked(),
            load.unasked(),
            shift(ground.store().effects(), zero),
            shiftReads(ground.store().reads(), zero),
            List.copyOf(troubles),
            ground.gateways().stream().flatMap(g -> g.views().stream()).toList(),
            agreedAfter);
    return new Result(
        played,
        seed,
        evidence,
        HistoryChecker.of(evidence),
        List.copyOf(ready),
        directory.toString());
  }

  /** Milliseconds from now until all hold one view of all; below zero where that does not come. */
  private static long agreed(ChaosCluster ground) {
    long from = System.nanoTime();
    try {
      ManagedProcess.until("all hold one view of all", AGREES_WITHIN, ground::agree);
      return (System.nanoTime() - from) / 1_000_000;
    } catch (IOException e) {
      return -1;
    }
  }

  private void step(Step step, Scenario played, ChaosCluster ground, FaultInjector havoc, long zero)
      throws IOException {
    Fault fault = step.fault();
    if (step.begins()) {
      long from = ground.clock().nanos() - zero;
      havoc.begin(fault);
      synchronized (troubles) {
        // Until it is healed, without an end.
        troubles.add(
            new History.Trouble(from, Long.MAX_VALUE / 2, havoc.excused(fault), fault.describe()));
      }
      return;
    }
    // A process that is told to stop, or starts, takes its time; others' faults go on meanwhile.
    healing.add(
        CompletableFuture.runAsync(
            () -> {
              try {
                havoc.end(fault, played.lag());
                if (fault.kind().isOnGateway() && fault.kind() != Fault.Kind.DISK) {
                  ChaosCluster.Gateway gateway = ground.gateway(fault.on());
                  gateway.awaitReady();
                  synchronized (troubles) {
                    ready.add(
                        gateway.name()
                            + " ready again at "
                            + (ground.clock().nanos() - zero) / 1_000_000
                            + " ms after "
                            + fault.describe());
                  }
                }
                healed(fault, havoc, ground.clock().nanos() - zero);
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            }));
  }

  private void healed(Fault fault, FaultInjector havoc, long at) {
    synchronized (troubles) {
      for (int k = 0; k < troubles.size(); k++) {
        History.Trouble t = troubles.get(k);
        if (t.until() == Long.MAX_VALUE / 2 && t.what().equals(fault.describe())) {
          troubles.set(
              k,
              new History.Trouble(
                  t.from(), at + SETTLES.toNanos(), havoc.excused(fault), t.what()));
          return;
        }
      }
    }
  }

  private static List<ReplicatedStoreModel.Effect> shift(
      List<ReplicatedStoreModel.Effect> all, long zero) {
    return all.stream()
        .map(
            e ->
                new ReplicatedStoreModel.Effect(
                    e.at() - zero,
                    e.rpc(),
                    e.group(),
                    e.server(),
                    e.key(),
                    e.value(),
                    e.sequence(),
                    e.connection()))
        .toList();
  }

  private static List<ReplicatedStoreModel.Read> shiftReads(
      List<ReplicatedStoreModel.Read> all, long zero) {
    return all.stream()
        .map(
            r ->
                new ReplicatedStoreModel.Read(
                    r.at() - zero,
                    r.rpc(),
                    r.group(),
                    r.server(),
                    r.key(),
                    r.position() - zero,
                    r.seen()))
        .toList();
  }

  /** Log lines of all gateways that name the RPC, in order of time. */
  public static List<String> lines(Path directory, String rpc) throws IOException {
    List<String> all = new ArrayList<>();
    try (Stream<Path> homes = Files.list(directory)) {
      for (Path log :
          homes.map(h -> h.resolve("log")).filter(Files::isRegularFile).sorted().toList()) {
        String name = log.getParent().getFileName().toString();
        try (Stream<String> lines = Files.lines(log)) {
          lines
              .filter(l -> !rpc.isEmpty() && l.contains(rpc))
              .forEach(l -> all.add(l + " [" + name + "]"));
        }
      }
    }
    all.sort(Comparator.naturalOrder());
    return all;
  }
}
