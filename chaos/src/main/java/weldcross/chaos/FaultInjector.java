package weldcross.chaos;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import weldcross.chaos.proxy.NetworkPath;
import weldcross.chaos.scenario.Fault;
import weldcross.fakes.FakePostgresServer;

/** Makes faults act on a cluster, and heals them. */
final class FaultInjector {

  private static final Duration TERMINATION_TIMEOUT = Duration.ofSeconds(10);
  private static final String CLIENTS = "clients";

  private final ChaosCluster cluster;

  FaultInjector(ChaosCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Returns the gateways whose clients may get no answer because of a fault: their process dies or
   * stands still, or nothing passes between it and them. All other faults a gateway has to answer
   * for, in time.
   */
  List<String> excusedGateways(Fault fault) {
    return switch (fault.kind()) {
      case KILL, CLOCK, PAUSE -> List.of(fault.on());
      case TERM, DISK, SPLIT, SERVER_KILL, LAG, SERVER_STALL, ANSWERS_LOST -> List.of();
      default -> excusedByNetworkFault(fault);
    };
  }

  /** Returns the gateways that close their connections in order because of a fault. */
  static List<String> closingGateways(Fault fault) {
    return fault.kind() == Fault.Kind.TERM ? List.of(fault.on()) : List.of();
  }

  private List<String> excusedByNetworkFault(Fault fault) {
    if (fault.on().equals(CLIENTS)) {
      return peersOf(fault).stream().filter(host -> host.startsWith("n")).toList();
    }
    return peersOf(fault).contains(CLIENTS) ? List.of(fault.on()) : List.of();
  }

  /** Begins a fault; returns once it acts. */
  void begin(Fault fault) throws IOException {
    switch (fault.kind()) {
      case KILL, CLOCK -> gateway(fault).process().kill();
      case TERM -> gateway(fault).process().terminate();
      case PAUSE -> gateway(fault).process().pause();
      case DISK -> gateway(fault).setDiskFaults(fault.how());
      case STALL -> changeBothWays(fault, path -> path.withStalled(true));
      case STALL_ONE_WAY -> changeOneWay(fault, path -> path.withStalled(true));
      case CUT -> changeBothWays(fault, path -> path.withCut(true));
      case CUT_ONE_WAY -> changeOneWay(fault, path -> path.withCut(true));
      case RESET -> resetConnections(fault);
      case REFUSE -> refuseConnections(fault, true);
      case DELAY -> {
        Duration delay = Duration.ofMillis(Long.parseLong(fault.how()));
        changeBothWays(fault, path -> path.withImpairment(delay, 0, 0, 0));
      }
      case LOSS -> {
        double share = Double.parseDouble(fault.how());
        changeBothWays(
            fault, path -> path.withImpairment(Duration.ZERO, share, share / 2, share / 2));
      }
      case SPLIT -> split(fault, true);
      case SERVER_KILL -> server(fault).kill();
      case LAG -> server(fault).setLag(Duration.ofMillis(Long.parseLong(fault.how())));
      case SERVER_STALL -> server(fault).setStalled(true);
      case ANSWERS_LOST -> server(fault).setLosingResponses(true);
    }
  }

  /**
   * Heals a fault; returns once that is begun, while processes may still be starting.
   *
   * @param usualLag the lag of replicas without a fault
   */
  void end(Fault fault, Duration usualLag) throws IOException {
    switch (fault.kind()) {
      case KILL -> {
        gateway(fault).restoreRecords(fault.how());
        gateway(fault).start();
      }
      case CLOCK -> startWithClockOffset(gateway(fault), Long.parseLong(fault.how()));
      case TERM -> {
        gateway(fault).process().awaitExit(TERMINATION_TIMEOUT);
        gateway(fault).process().kill();
        gateway(fault).start();
      }
      case PAUSE -> gateway(fault).process().resume();
      case DISK -> gateway(fault).setDiskFaults("");
      case STALL -> changeBothWays(fault, path -> path.withStalled(false));
      case STALL_ONE_WAY -> changeOneWay(fault, path -> path.withStalled(false));
      case CUT -> changeBothWays(fault, path -> path.withCut(false));
      case CUT_ONE_WAY -> changeOneWay(fault, path -> path.withCut(false));
      case REFUSE -> refuseConnections(fault, false);
      case DELAY, LOSS ->
          changeBothWays(fault, path -> path.withImpairment(Duration.ZERO, 0, 0, 0));
      case SPLIT -> split(fault, false);
      case SERVER_KILL -> {
        server(fault).start();
        cluster.publish(server(fault));
      }
      case LAG -> server(fault).setLag(usualLag);
      case SERVER_STALL -> server(fault).setStalled(false);
      case ANSWERS_LOST -> server(fault).setLosingResponses(false);
      case RESET -> {
        // It acts in an instant and needs no healing.
      }
    }
  }

  private GatewayNode gateway(Fault fault) {
    return cluster.gateway(fault.on());
  }

  private FakePostgresServer server(Fault fault) {
    return cluster.server(fault.on());
  }

  private static void startWithClockOffset(GatewayNode gateway, long offsetMillis)
      throws IOException {
    gateway.setClockOffsetMillis(offsetMillis);
    gateway.start();
    gateway.setClockOffsetMillis(0);
  }

  /** The hosts at the other end of a network fault. */
  private List<String> peersOf(Fault fault) {
    return fault.to().equals("*") ? cluster.hostsOtherThan(fault.on()) : List.of(fault.to());
  }

  private void resetConnections(Fault fault) {
    for (String peer : peersOf(fault)) {
      cluster.proxy().resetConnections(fault.on(), peer);
    }
  }

  private void refuseConnections(Fault fault, boolean on) {
    for (String peer : peersOf(fault)) {
      cluster.proxy().refuseConnections(fault.on(), peer, on);
    }
  }

  private void changeOneWay(Fault fault, UnaryOperator<NetworkPath> change) {
    for (String peer : peersOf(fault)) {
      changePath(fault.on(), peer, change);
    }
  }

  private void changeBothWays(Fault fault, UnaryOperator<NetworkPath> change) {
    for (String peer : peersOf(fault)) {
      changePath(fault.on(), peer, change);
      changePath(peer, fault.on(), change);
    }
  }

  private void changePath(String from, String to, UnaryOperator<NetworkPath> change) {
    cluster.proxy().setPath(from, to, change.apply(cluster.proxy().path(from, to)));
  }

  /** Cuts gateways off that share no side; a name may stand on several sides. */
  private void split(Fault fault, boolean on) {
    List<List<String>> sides = new ArrayList<>();
    for (String side : fault.how().split("\\|", -1)) {
      sides.add(List.of(side.split(",", -1)));
    }
    for (GatewayNode gateway : cluster.gateways()) {
      for (GatewayNode peer : cluster.gateways()) {
        if (gateway != peer && areApart(sides, gateway.name(), peer.name())) {
          changePath(gateway.name(), peer.name(), path -> path.withCut(on));
        }
      }
    }
  }

  private static boolean areApart(List<List<String>> sides, String gateway, String peer) {
    boolean bothNamed =
        sides.stream().anyMatch(side -> side.contains(gateway))
            && sides.stream().anyMatch(side -> side.contains(peer));
    boolean together =
        sides.stream().anyMatch(side -> side.contains(gateway) && side.contains(peer));
    return bothNamed && !together;
  }
}
