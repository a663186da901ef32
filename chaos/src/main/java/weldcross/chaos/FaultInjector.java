package weldcross.chaos;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import weldcross.chaos.proxy.NetworkPath;
import weldcross.chaos.scenario.Fault;
import weldcross.fakes.FakePostgresServer;

/** Has faults happen on a ground, and heals them. */
final class FaultInjector {

  private final ChaosCluster ground;

  FaultInjector(ChaosCluster ground) {
    this.ground = ground;
  }

  /**
   * Gateways whose clients may rightly be told nothing: its process dies or stands still, or
   * nothing passes between it and them. Every other trouble is the gateway's to answer for, in
   * time.
   */
  List<String> excused(Fault fault) {
    return switch (fault.kind()) {
      case KILL, CLOCK, PAUSE -> List.of(fault.on());
      case TERM, DISK, SPLIT, SERVER_KILL, LAG, SERVER_STALL, ANSWERS_LOST -> List.of();
      default ->
          fault.on().equals("clients")
              ? others(fault).stream().filter(h -> h.startsWith("n")).toList()
              : others(fault).contains("clients") ? List.of(fault.on()) : List.of();
    };
  }

  /** Begins it; returns once it acts. */
  void begin(Fault f) throws IOException {
    ChaosCluster.Gateway gateway = f.kind().isOnGateway() ? ground.gateway(f.on()) : null;
    switch (f.kind()) {
      case KILL, CLOCK -> gateway.child().kill();
      case TERM -> gateway.child().term();
      case PAUSE -> gateway.child().pause();
      case DISK -> gateway.disk(f.how());
      case STALL -> ways(f, true, true, w -> w.withHeld(true));
      case STALL_ONE_WAY -> ways(f, true, false, w -> w.withHeld(true));
      case CUT -> ways(f, true, true, w -> w.withCut(true));
      case CUT_ONE_WAY -> ways(f, true, false, w -> w.withCut(true));
      case RESET -> others(f).forEach(to -> ground.relay().reset(f.on(), to));
      case REFUSE -> others(f).forEach(to -> ground.relay().refuse(f.on(), to, true));
      case DELAY ->
          ways(
              f,
              true,
              true,
              w -> w.withTrouble(Duration.ofMillis(Long.parseLong(f.how())), 0, 0, 0));
      case LOSS -> {
        double share = Double.parseDouble(f.how());
        ways(f, true, true, w -> w.withTrouble(Duration.ZERO, share, share / 2, share / 2));
      }
      case SPLIT -> split(f, true);
      case SERVER_KILL -> ground.server(f.on()).kill();
      case LAG -> ground.server(f.on()).lag(Duration.ofMillis(Long.parseLong(f.how())));
      case SERVER_STALL -> ground.server(f.on()).stalled(true);
      case ANSWERS_LOST -> ground.server(f.on()).losingAnswers(true);
      default -> throw new IllegalArgumentException(f.kind().word());
    }
  }

  /** Heals it; returns once that is asked for, processes may still be starting. */
  void end(Fault f, Duration usualLag) throws IOException {
    ChaosCluster.Gateway gateway = f.kind().isOnGateway() ? ground.gateway(f.on()) : null;
    switch (f.kind()) {
      case KILL -> {
        gateway.recordsAre(f.how());
        gateway.start();
      }
      case CLOCK -> {
        gateway.wallOff(Long.parseLong(f.how()));
        gateway.start();
        gateway.wallOff(0);
      }
      case TERM -> {
        gateway.child().await(Duration.ofSeconds(10));
        gateway.child().kill();
        gateway.start();
      }
      case PAUSE -> gateway.child().resume();
      case DISK -> gateway.disk("");
      case STALL -> ways(f, true, true, w -> w.withHeld(false));
      case STALL_ONE_WAY -> ways(f, true, false, w -> w.withHeld(false));
      case CUT -> ways(f, true, true, w -> w.withCut(false));
      case CUT_ONE_WAY -> ways(f, true, false, w -> w.withCut(false));
      case REFUSE -> others(f).forEach(to -> ground.relay().refuse(f.on(), to, false));
      case DELAY, LOSS -> ways(f, true, true, w -> w.withTrouble(Duration.ZERO, 0, 0, 0));
      case SPLIT -> split(f, false);
      case SERVER_KILL -> {
        FakePostgresServer server = ground.server(f.on());
        server.start();
        ground.list(server);
      }
      case LAG -> ground.server(f.on()).lag(usualLag);
      case SERVER_STALL -> ground.server(f.on()).stalled(false);
      case ANSWERS_LOST -> ground.server(f.on()).losingAnswers(false);
      default -> {
        // What happens in an instant needs no healing.
      }
    }
  }

  private List<String> others(Fault f) {
    return f.to().equals("*") ? ground.othersOf(f.on()) : List.of(f.to());
  }

  private interface Change {
    NetworkPath of(NetworkPath before);
  }

  private void ways(Fault f, boolean there, boolean back, Change change) {
    for (String to : others(f)) {
      if (there) {
        change(f.on(), to, change);
      }
      if (back) {
        change(to, f.on(), change);
      }
    }
  }

  private void change(String from, String to, Change change) {
    ground.relay().set(from, to, change.of(ground.relay().way(from, to)));
  }

  /** Gateways of different sides do not reach each other; a name may stand on several sides. */
  private void split(Fault f, boolean on) {
    List<List<String>> sides = new ArrayList<>();
    for (String side : f.how().split("\\|", -1)) {
      sides.add(List.of(side.split(",")));
    }
    for (ChaosCluster.Gateway a : ground.gateways()) {
      for (ChaosCluster.Gateway b : ground.gateways()) {
        boolean known =
            sides.stream().anyMatch(s -> s.contains(a.name()))
                && sides.stream().anyMatch(s -> s.contains(b.name()));
        boolean together =
            sides.stream().anyMatch(s -> s.contains(a.name()) && s.contains(b.name()));
        if (a != b && known && !together) {
          change(a.name(), b.name(), w -> w.withCut(on));
        }
      }
    }
  }
}
