package weldcross.chaos;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import weldcross.chaos.proxy.NetworkPath;
import weldcross.chaos.scenario.Fault;
import weldcross.fakes.FakePostgresServer;

/** Injects faults into a cluster and heals them. */
final class FaultInjector {

  private static final Duration TERMINATION_TIMEOUT = Duration.ofSeconds(10);
  private static final String CLIENTS = "clients";

  private final ChaosCluster cluster;

  FaultInjector(ChaosCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Returns the gateways whose clients may get no answer because of a fault: the gateway process is
   * killed or paused, or the network path between it and its clients fails. Under all other faults
   * a gateway must still answer in time.
   */
  List<String> unresponsiveGateways(Fault fault) {
    return switch (fault.kind()) {
      case KILL, CLOCK, PAUSE -> List.of(fault.host());
      case TERM, DISK, SPLIT, SERVER_KILL, LAG, SERVER_STALL, ANSWERS_LOST -> List.of();
      default -> gatewaysCutOffFromClients(fault);
    };
  }

  /** Returns the gateways that close their connections gracefully because of a fault. */
  static List<String> closingGateways(Fault fault) {
    return fault.kind() == Fault.Kind.TERM ? List.of(fault.host()) : List.of();
  }

  private List<String> gatewaysCutOffFromClients(Fault fault) {
    if (fault.host().equals(CLIENTS)) {
      return peersOf(fault).stream().filter(host -> host.startsWith("n")).toList();
    }
    return peersOf(fault).contains(CLIENTS) ? List.of(fault.host()) : List.of();
  }

  /** Injects a fault; returns once it is in effect. */
  void inject(Fault fault) throws IOException {
    switch (fault.kind()) {
      case KILL, CLOCK -> gateway(fault).process().kill();
      case TERM -> gateway(fault).process().terminate();
      case PAUSE -> gateway(fault).process().pause();
      case DISK -> gateway(fault).setDiskFaults(fault.details());
      case STALL -> changeBothWays(fault, path -> path.withStalled(true));
      case STALL_ONE_WAY -> changeOneWay(fault, path -> path.withStalled(true));
      case CUT -> changeBothWays(fault, path -> path.withCut(true));
      case CUT_ONE_WAY -> changeOneWay(fault, path -> path.withCut(true));
      case RESET -> resetConnections(fault);
      case REFUSE -> refuseConnections(fault, true);
      case DELAY -> {
        Duration delay = Duration.ofMillis(Long.parseLong(fault.details()));
        changeBothWays(fault, path -> path.withImpairment(delay, 0, 0, 0));
      }
      case LOSS -> {
        double ratio = Double.parseDouble(fault.details());
        changeBothWays(
            fault, path -> path.withImpairment(Duration.ZERO, ratio, ratio / 2, ratio / 2));
      }
      case SPLIT -> setPartition(fault, true);
      case SERVER_KILL -> server(fault).kill();
      case LAG -> server(fault).setLag(Duration.ofMillis(Long.parseLong(fault.details())));
      case SERVER_STALL -> server(fault).setStalled(true);
      case ANSWERS_LOST -> server(fault).setLosingResponses(true);
    }
  }

  /**
   * Heals a fault. Does not wait until restarted processes are ready.
   *
   * @param normalLag the lag of replicas without a fault
   */
  void heal(Fault fault, Duration normalLag) throws IOException {
    switch (fault.kind()) {
      case KILL -> {
        gateway(fault).restoreRecords(fault.details());
        gateway(fault).start();
      }
      case CLOCK -> startWithClockOffset(gateway(fault), Long.parseLong(fault.details()));
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
      case SPLIT -> setPartition(fault, false);
      case SERVER_KILL -> {
        server(fault).start();
        cluster.publish(server(fault));
      }
      case LAG -> server(fault).setLag(normalLag);
      case SERVER_STALL -> server(fault).setStalled(false);
      case ANSWERS_LOST -> server(fault).setLosingResponses(false);
      case RESET -> {
        // Instantaneous, nothing to heal.
      }
    }
  }

  private GatewayNode gateway(Fault fault) {
    return cluster.gateway(fault.host());
  }

  private FakePostgresServer server(Fault fault) {
    return cluster.server(fault.host());
  }

  private static void startWithClockOffset(GatewayNode gateway, long offsetMillis)
      throws IOException {
    gateway.setClockOffsetMillis(offsetMillis);
    gateway.start();
    gateway.setClockOffsetMillis(0);
  }

  /** Returns the hosts at the other end of a network fault. */
  private List<String> peersOf(Fault fault) {
    return fault.peer().equals("*") ? cluster.hostsOtherThan(fault.host()) : List.of(fault.peer());
  }

  private void resetConnections(Fault fault) {
    for (String peer : peersOf(fault)) {
      cluster.proxy().resetConnections(fault.host(), peer);
    }
  }

  private void refuseConnections(Fault fault, boolean refuse) {
    for (String peer : peersOf(fault)) {
      cluster.proxy().refuseConnections(fault.host(), peer, refuse);
    }
  }

  private void changeOneWay(Fault fault, UnaryOperator<NetworkPath> change) {
    for (String peer : peersOf(fault)) {
      changePath(fault.host(), peer, change);
    }
  }

  private void changeBothWays(Fault fault, UnaryOperator<NetworkPath> change) {
    for (String peer : peersOf(fault)) {
      changePath(fault.host(), peer, change);
      changePath(peer, fault.host(), change);
    }
  }

  private void changePath(String from, String to, UnaryOperator<NetworkPath> change) {
    cluster.proxy().setPath(from, to, change.apply(cluster.proxy().path(from, to)));
  }

  /**
   * Cuts or restores the paths between gateways that have no side of the partition in common. A
   * gateway may be on several sides.
   */
  private void setPartition(Fault fault, boolean cut) {
    List<List<String>> sides = new ArrayList<>();
    for (String side : fault.details().split("\\|", -1)) {
      sides.add(List.of(side.split(",", -1)));
    }
    for (GatewayNode gateway : cluster.gateways()) {
      for (GatewayNode peer : cluster.gateways()) {
        if (gateway != peer && arePartitioned(sides, gateway.name(), peer.name())) {
          changePath(gateway.name(), peer.name(), path -> path.withCut(cut));
        }
      }
    }
  }

  private static boolean arePartitioned(List<List<String>> sides, String gateway, String peer) {
    boolean bothListed =
        sides.stream().anyMatch(side -> side.contains(gateway))
            && sides.stream().anyMatch(side -> side.contains(peer));
    boolean onSameSide =
        sides.stream().anyMatch(side -> side.contains(gateway) && side.contains(peer));
    return bothListed && !onSameSide;
  }
}
