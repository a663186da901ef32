package weldcross.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerConnectionManagerTest {

  private static final Duration SECOND = Duration.ofSeconds(1);

  /** Covers the longest backoff with jitter, a connect, a handshake and a heartbeat timeout. */
  private static final Duration RECOVERY_TIME = Duration.ofMillis(2500);

  private static MeshSimulation connectedSimulation(int count) {
    MeshSimulation simulation = new MeshSimulation(count);
    simulation.run(SECOND);
    simulation.assertAllUp();
    return simulation;
  }

  private static boolean isUp(MeshSimulation simulation, int from, int to) {
    return simulation.node(from).manager.isUp(simulation.node(to).name);
  }

  @Test
  void networkCutIsDetectedByTheHeartbeatTimeout() {
    MeshSimulation simulation = connectedSimulation(2);
    simulation.cutPaths.add("n0>n1");
    simulation.run(SECOND);
    List<String> events = simulation.node(0).events;
    assertTrue(events.contains("down n1 HEARTBEAT_TIMEOUT"), events.toString());
    assertFalse(isUp(simulation, 0, 1));
    simulation.cutPaths.clear();
    simulation.run(RECOVERY_TIME);
    simulation.assertAllUp();
  }

  /** Frames pass from n1 to n0 only, so heartbeats are acknowledged on neither connection. */
  @Test
  void oneWayCutClosesBothConnections() {
    MeshSimulation simulation = connectedSimulation(3);
    simulation.cutPaths.add("n0>n1");
    simulation.run(SECOND);
    assertFalse(isUp(simulation, 0, 1) || isUp(simulation, 1, 0));
    assertTrue(isUp(simulation, 0, 2) && isUp(simulation, 1, 2));
  }

  /**
   * The peer is paused until this gateway's connection to it times out, and resumes before its own
   * connection expires. The peer's connection stays up and loses no message.
   */
  @Test
  void peerThatResumesBeforeItsOwnConnectionExpiresLosesNoMessage() {
    MeshSimulation simulation = new MeshSimulation(2);
    final MeshSimulation.Node peer = simulation.node(1);
    // The peer connects 50 ms later, so that its heartbeats lag by 50 ms.
    simulation.completeConnect(
        simulation.connects.stream()
            .filter(connect -> connect.from() != peer)
            .findFirst()
            .orElseThrow());
    while (!simulation.endpointsWithFrames().isEmpty()) {
      simulation.endpointsWithFrames().forEach(simulation::deliver);
    }
    simulation.advance(Duration.ofMillis(50));
    simulation.run(Duration.ofMillis(1110));
    simulation.assertAllUp();
    peer.send(simulation.node(0).name, 8, false);
    simulation.run(Duration.ofMillis(1));
    simulation.paused.add(peer);
    while (isUp(simulation, 0, 1)) {
      simulation.run(Duration.ofMillis(1));
    }
    simulation.paused.clear();
    for (int k = 0; k < 3; k++) {
      peer.send(simulation.node(0).name, 8, false);
    }
    simulation.run(RECOVERY_TIME);
    assertEquals(4, simulation.messagesReceived);
    assertTrue(
        simulation.node(0).events.contains("down n1 HEARTBEAT_TIMEOUT"),
        simulation.node(0).events.toString());
    assertFalse(peer.events.toString().contains("down"), peer.events.toString());
    simulation.assertAllUp();
  }

  @Test
  void messagesOfAnEarlierIncarnationAreIgnoredAfterARestart() {
    MeshSimulation simulation = connectedSimulation(2);
    MeshSimulation.Node restarted = simulation.node(0);
    MeshSimulation.Node peer = simulation.node(1);
    restarted.send(peer.name, 8, false);
    MeshSimulation.Endpoint earlierEndpoint = simulation.endpointsWithFrames().get(0);
    restarted.restart(2);
    simulation.completeConnect(simulation.connects.get(0));
    // Deliver the new handshake before the frames that the earlier process sent.
    simulation.deliver(
        simulation.endpointsWithFrames().stream()
            .filter(end -> end != earlierEndpoint && end.node == peer)
            .reduce((earlier, later) -> later)
            .orElseThrow());
    assertEquals(
        Optional.of(2L), peer.manager.incarnationOf(restarted.name).map(Incarnation::number));
    long received = simulation.messagesReceived;
    simulation.run(RECOVERY_TIME);
    assertEquals(
        received, simulation.messagesReceived, "messages received from the earlier process");
    simulation.assertAllUp();
  }

  /**
   * The disk lost the last incarnation, which peers know, so the process must change to a higher
   * one.
   */
  @Test
  void processWithAnIncarnationInUseIsRejectedAndChangesToAHigherOne() {
    MeshSimulation simulation = connectedSimulation(3);
    MeshSimulation.Node node = simulation.node(0);
    node.restart(1);
    simulation.run(RECOVERY_TIME);
    assertTrue(
        node.events.stream().anyMatch(event -> event.startsWith("outdated by 1")),
        node.events.toString());
    assertEquals(2, node.incarnation.number());
    simulation.run(RECOVERY_TIME);
    simulation.assertAllUp();
  }

  /** A handshake request with only the fault that leads to the given rejection. */
  private static HandshakeRequest rejectedRequest(
      HandshakeRejection reason, PeerName from, PeerName to, Incarnation incarnation) {
    return switch (reason) {
      case DIFFERENT_CLUSTER -> new HandshakeRequest("d", from, to, incarnation, 1);
      case UNKNOWN_PEER -> new HandshakeRequest("c", new PeerName("x"), to, incarnation, 1);
      case WRONG_RECEIVER -> new HandshakeRequest("c", from, from, incarnation, 1);
      case UNSUPPORTED_VERSION -> new HandshakeRequest("c", from, to, incarnation, 2);
      case STALE_INCARNATION -> new HandshakeRequest("c", from, to, new Incarnation(0, 5), 1);
    };
  }

  @Test
  void rejectedHandshakesCloseOnlyTheirOwnConnections() {
    MeshSimulation simulation = connectedSimulation(2);
    MeshSimulation.Node node = simulation.node(0);
    MeshSimulation.Node peer = simulation.node(1);
    Incarnation incarnation = new Incarnation(1, peer.incarnation.nonce());
    for (HandshakeRejection reason : HandshakeRejection.values()) {
      MeshSimulation.Endpoint end = new MeshSimulation.Endpoint(node, 1000);
      end.other = new MeshSimulation.Endpoint(peer, -1000);
      node.endpoints.put(end.number, end);
      node.manager.onAccepted(simulation.now, end.number, true);
      node.manager.onHandshakeRequest(
          simulation.now, end.number, rejectedRequest(reason, peer.name, node.name, incarnation));
      assertFalse(node.endpoints.containsKey(end.number), reason + ": rejected and closed");
    }
    simulation.run(SECOND);
    simulation.assertAllUp();
    assertEquals(
        1, node.events.size(), "expected only the first connection-up event: " + node.events);
  }

  @Test
  void connectionsWithoutAHandshakeDoNotLockOutPeers() {
    MeshSimulation simulation = new MeshSimulation(2);
    MeshSimulation.Node node = simulation.node(0);
    for (int k = 0; k < 5; k++) {
      MeshSimulation.Endpoint end = new MeshSimulation.Endpoint(node, 2000 + k);
      node.endpoints.put(end.number, end);
      node.manager.onAccepted(simulation.now, end.number, true);
    }
    long accepted = node.endpoints.keySet().stream().filter(number -> number >= 2000).count();
    assertEquals(2, accepted, "accepted connections for one peer");
    simulation.run(RECOVERY_TIME);
    simulation.assertAllUp();
  }

  @Test
  void fullQueueDropsTheOldestMessageOrClosesTheConnection() {
    MeshSimulation simulation = connectedSimulation(2);
    simulation.networkCompletesWrites = false;
    MeshSimulation.Node node = simulation.node(0);
    PeerName peer = simulation.node(1).name;
    for (int k = 0; k < 60; k++) {
      node.send(peer, 16, true);
      node.assertQueuesBounded();
    }
    assertTrue(node.manager.describe().contains("dropped"), node.manager.describe());
    assertTrue(node.manager.isUp(peer));
    assertFalse(node.manager.send(simulation.now, peer, 1, ByteBuffer.allocate(16), false));
    assertTrue(node.events.contains("down n1 QUEUE_FULL"), node.events.toString());
  }

  @Test
  void backoffGrowsWhileThePeerIsUnreachableAndEndsWhenItConnects() {
    MeshSimulation simulation = connectedSimulation(2);
    simulation.cutPaths.addAll(List.of("n0>n1", "n1>n0"));
    simulation.run(Duration.ofSeconds(20));
    int connects = 0;
    Duration until = simulation.now.plus(Duration.ofSeconds(10));
    while (simulation.now.compareTo(until) < 0) {
      simulation.advance(SECOND);
      connects +=
          (int)
              simulation.connects.stream()
                  .filter(connect -> connect.from() == simulation.node(0))
                  .count();
      List.copyOf(simulation.connects).forEach(simulation::completeConnect);
    }
    assertTrue(connects >= 5 && connects <= 13, connects + " connects in 10 s");
    simulation.cutPaths.clear();
    simulation.run(RECOVERY_TIME);
    simulation.assertAllUp();
  }

  /**
   * Random restarts, one-way network cuts and frame delays; the invariants are checked at each
   * step.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void invariantsHoldUnderRandomFaults(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    MeshSimulation simulation = new MeshSimulation(3 + (int) (seed % 3));
    for (int step = 0; step < 6000; step++) {
      randomStep(simulation, random);
      simulation.runDeferredActions();
      simulation.nodes.values().forEach(MeshSimulation.Node::assertQueuesBounded);
    }
    assertTrue(simulation.messagesReceived > 100, "received: " + simulation.messagesReceived);
    simulation.cutPaths.clear();
    simulation.run(RECOVERY_TIME.multipliedBy(2));
    simulation.assertAllUp();
  }

  private static void randomStep(MeshSimulation simulation, SplittableRandom random) {
    int count = simulation.nodes.size();
    MeshSimulation.Node node = simulation.node(random.nextInt(count));
    PeerName peer = simulation.node(random.nextInt(count)).name;
    List<MeshSimulation.Endpoint> receivers = simulation.endpointsWithFrames();
    int choice = random.nextInt(1000);
    if (choice < 500 && !receivers.isEmpty()) {
      simulation.deliver(receivers.get(random.nextInt(receivers.size())));
    } else if (choice < 600 && !simulation.connects.isEmpty()) {
      simulation.completeConnect(
          simulation.connects.get(random.nextInt(simulation.connects.size())));
    } else if (choice < 800 && !peer.equals(node.name)) {
      node.send(peer, 8 + random.nextInt(40), random.nextBoolean());
    } else if (choice < 960) {
      simulation.advance(Duration.ofMillis(random.nextInt(60)));
    } else if (choice < 975 && !peer.equals(node.name)) {
      simulation.cutPaths.add(node.name + ">" + peer);
    } else if (choice < 990) {
      simulation.cutPaths.clear();
    } else if (choice < 996) {
      // In one restart of four the disk has lost the stored incarnation.
      node.restart(node.incarnation.number() + (random.nextInt(4) == 0 ? 0 : 1));
    } else if (!node.endpoints.isEmpty()) {
      List<Long> numbers = List.copyOf(node.endpoints.keySet());
      long number = numbers.get(random.nextInt(numbers.size()));
      node.close(number);
      node.manager.onClosed(simulation.now, number);
    }
  }

  /**
   * Explores all sequences of nine events between two gateways, one of which may restart with a new
   * or a repeated incarnation number.
   */
  @Test
  void invariantsHoldInAllSequencesOfNineEvents() {
    Set<String> states = new HashSet<>();
    explore(new int[0], 9, states);
    assertTrue(states.size() > 1000, states.size() + " states");
  }

  private static final int CHOICE_COUNT = 8;

  private static void explore(int[] path, int remaining, Set<String> states) {
    Optional<MeshSimulation> simulation = replay(path);
    if (simulation.isEmpty()
        || !states.add(describeState(simulation.get()) + "@" + remaining)
        || remaining == 0) {
      return;
    }
    for (int choice = 0; choice < CHOICE_COUNT; choice++) {
      int[] extendedPath = Arrays.copyOf(path, path.length + 1);
      extendedPath[path.length] = choice;
      explore(extendedPath, remaining - 1, states);
    }
  }

  /** Replays the choices from the start; empty if one of them is not possible. */
  private static Optional<MeshSimulation> replay(int[] path) {
    MeshSimulation simulation = new MeshSimulation(2);
    for (int choice : path) {
      if (!applyChoice(simulation, choice)) {
        return Optional.empty();
      }
      simulation.runDeferredActions();
      simulation.nodes.values().forEach(MeshSimulation.Node::assertQueuesBounded);
    }
    return Optional.of(simulation);
  }

  private static boolean applyChoice(MeshSimulation simulation, int choice) {
    List<MeshSimulation.Endpoint> receivers = simulation.endpointsWithFrames();
    MeshSimulation.Node node = simulation.node(0);
    switch (choice) {
      case 0, 1, 2 -> {
        if (choice >= receivers.size()) {
          return false;
        }
        simulation.deliver(receivers.get(choice));
      }
      case 3 -> {
        if (simulation.connects.isEmpty()) {
          return false;
        }
        simulation.completeConnect(simulation.connects.get(0));
      }
      case 4 -> node.send(simulation.node(1).name, 8, false);
      case 5 -> node.restart(node.incarnation.number() + 1);
      case 6 -> node.restart(node.incarnation.number());
      default -> simulation.advance(Duration.ofMillis(200));
    }
    return true;
  }

  private static String describeState(MeshSimulation simulation) {
    StringBuilder state =
        new StringBuilder(simulation.now.toString()).append(simulation.connects.size());
    for (MeshSimulation.Node node : simulation.nodes.values()) {
      state.append(node.incarnation).append(node.manager.describe()).append(node.lastReceived);
      for (MeshSimulation.Endpoint end : node.endpoints.values()) {
        state.append(end.number).append(end.open).append(end.framesInTransit.size());
      }
    }
    return state.toString();
  }
}
