package weldcross.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A model of discovery with two addresses, and one gateway that is restarted and switched between
 * the addresses. Random steps drain servers and make addresses unresponsive, overloaded or late, or
 * stall their connections. For every request that the gateway sends, the model checks that the
 * server's drain was not delivered longer ago than the grace period.
 */
final class DiscoveryModel {

  /** Text of the default configuration, and its replacement with which discovery is polled. */
  static final String[] POLLED = {
    "\"nInstances\":2", "\"nInstances\":2,\"discovery\":\"on_request\""
  };

  private static final int SERVERS = 3;

  /** The drain grace period of 2 s, and 50 ms for a request in transit. */
  private static final Duration GRACE_PERIOD = Duration.ofMillis(2050);

  /** A change known at a new address is considered delivered this long after the switch to it. */
  private static final Duration NOTICE_AFTER_SWITCH = Duration.ofSeconds(4);

  /** The previous address closes its connections this long after a switch and accepts no more. */
  private static final Duration CLOSE_AFTER_SWITCH = Duration.ofMillis(1500);

  /** A change missed by a stalled watch is considered delivered this long after it was known. */
  private static final Duration NOTICE_AFTER_STALLED_WATCH = Duration.ofSeconds(6);

  /** If polled: or this long after the end of the wait of the watch, if that is later. */
  private static final Duration NOTICE_AFTER_WAIT = Duration.ofSeconds(2);

  /** If polled: longest time of a request in the queue; longer ones are rejected. */
  private static final int MAX_QUEUE_MILLIS = 2000;

  /** One address of discovery. */
  private static final class Address {

    /** When the address learned each revision after the first. */
    final TreeMap<Integer, Duration> knownSince = new TreeMap<>();

    /** The revisions that it learned while all connections to it were stalled. */
    final Set<Integer> missed = new HashSet<>();

    boolean unresponsive;
    boolean overloaded;

    int revision() {
      return knownSince.isEmpty() ? 1 : knownSince.lastKey();
    }
  }

  private final SplittableRandom random;
  private final boolean polled;

  /** The server that each revision changes; the first two are placeholders for the initial list. */
  private final List<Integer> changedServers = new ArrayList<>(List.of(0, 0));

  /** Whether each revision drains its server, rather than making it active again. */
  private final List<Boolean> drains = new ArrayList<>(List.of(false, false));

  /** The addresses, with ports 1 and 2. */
  private final List<Address> addresses = List.of(new Address(), new Address());

  /** When each revision is considered delivered to the gateway. */
  private final TreeMap<Integer, Duration> delivered = new TreeMap<>();

  /** Connections that stay open without receiving anything more. */
  private final Set<Long> stalled = new HashSet<>();

  private GatewayHarness harness;

  /** When the current process of the gateway started. */
  private Duration startedAt = Duration.ZERO;

  private Duration switchedAt = Duration.ofDays(-1);

  /** The port of the address with which the gateway is configured. */
  private int currentPort = 1;

  /** The newest revision sent to the current process. */
  private int sentRevision;

  /** Number of requests that the gateway has sent to servers. */
  int requestsSent;

  /** Number of requests of the gateway that discovery has rejected. */
  int requestsRejected;

  /** Number of steps at whose end the gateway had no valid list. */
  int stepsWithoutValidList;

  DiscoveryModel(long seed, boolean polled) {
    this.random = new SplittableRandom(seed);
    this.polled = polled;
    start(1);
  }

  private Duration now() {
    return harness == null ? startedAt : startedAt.plus(harness.now);
  }

  private Address address(int port) {
    return addresses.get(port - 1);
  }

  private Address randomAddress() {
    return address(1 + random.nextInt(2));
  }

  // ---- The gateway

  /** Starts a process of the gateway with a list of this revision stored by the previous one. */
  private void start(int revision) {
    startedAt = now();
    String members = members(0, revision, true);
    String config =
        new String(
            TestConfig.json(
                "\"revision\":1",
                "\"revision\":" + revision,
                "127.0.0.1:1\"",
                "127.0.0.1:" + currentPort + "\"",
                POLLED[0],
                POLLED[polled ? 1 : 0]),
            StandardCharsets.UTF_8);
    String withList =
        config.replaceAll(
            "(\"known\".*?\"members\":\\[).*?(\\]\\},\"settings\")", "$1" + members + "$2");
    harness = new GatewayHarness(withList.getBytes(StandardCharsets.UTF_8));
    stalled.clear();
    addresses.forEach(address -> address.missed.clear());
    sentRevision = 0;
    removeUnreachableRevisions();
    harness.onSent = this::checkRequest;
  }

  private void restart() {
    updateDelivered();
    start(1 + random.nextInt(address(currentPort).revision()));
  }

  private void switchAddress() {
    updateDelivered();
    currentPort = 3 - currentPort;
    switchedAt = now();
    removeUnreachableRevisions();
    harness.reload(currentPort);
  }

  /** Checks a request that the gateway sends to a server. */
  private void checkRequest(String serverName) {
    requestsSent++;
    updateDelivered();
    int server = serverName.charAt(2) - '0';
    Duration limit = now().minus(GRACE_PERIOD);
    delivered.entrySet().stream()
        .filter(entry -> entry.getValue().compareTo(limit) < 0)
        .mapToInt(entry -> entry.getKey())
        .max()
        .ifPresent(revision -> checkNotDrained(serverName, server, revision));
  }

  private void checkNotDrained(String serverName, int server, int revision) {
    boolean activeAgain =
        delivered.tailMap(revision, false).keySet().stream()
            .anyMatch(later -> changedServers.get(later) == server && !drains.get(later));
    RequestHistory.check(
        !isDraining(server, revision) || activeAgain,
        "request sent at "
            + now()
            + " to "
            + serverName
            + ", whose drain was delivered with revision "
            + revision
            + " at "
            + delivered.get(revision));
  }

  // ---- Delivery of revisions

  /**
   * Removes the revisions known only to the previous address, if it never sent them to the current
   * process.
   */
  private void removeUnreachableRevisions() {
    int newest = Math.max(sentRevision, address(currentPort).revision());
    delivered.keySet().removeIf(revision -> revision > newest);
  }

  /** Adds the revisions of the configured address that are considered delivered by now. */
  private void updateDelivered() {
    Address current = address(currentPort);
    current.knownSince.forEach(
        (revision, since) -> {
          Duration time =
              later(switchedAt.plus(NOTICE_AFTER_SWITCH), deliveredAt(current, revision, since));
          if (time.compareTo(now()) <= 0) {
            delivered.merge(revision, time, DiscoveryModel::earlier);
          }
        });
  }

  private Duration deliveredAt(Address address, int revision, Duration since) {
    if (polled) {
      return deliveredAtIfPolled(since);
    }
    return address.missed.contains(revision) ? since.plus(NOTICE_AFTER_STALLED_WATCH) : since;
  }

  /** Returns when a revision is considered delivered without a response; a watch may delay it. */
  private Duration deliveredAtIfPolled(Duration since) {
    Duration latest = since.plus(NOTICE_AFTER_STALLED_WATCH);
    for (long number : openConnections()) {
      FakeConnection connection = harness.connections.get(number);
      Optional<DiscoveryRequest> request = DiscoveryRequest.parse(connection.received);
      if (connection.discoveryPort == currentPort
          && connection.answeredAt != null
          && request.isPresent()
          && request.get().isWatch()) {
        Duration end = startedAt.plus(connection.answeredAt).plusMillis(request.get().waitMillis());
        latest = later(latest, end.plus(NOTICE_AFTER_WAIT));
      }
    }
    return latest;
  }

  private static Duration earlier(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  private static Duration later(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  // ---- Steps

  /** Runs one random step, in which time advances. */
  void step() {
    injectEvent(random.nextInt(100));
    addresses.forEach(this::learn);
    respondToAll();
    if (random.nextInt(3) > 0) {
      harness.busyConnections().forEach(number -> harness.answer(number, null));
    }
    for (int rounds = random.nextInt(30) == 0 ? random.nextInt(150) : 1; rounds > 0; rounds--) {
      harness.advance(1 + random.nextInt(100));
      respondToAll();
    }
    stepsWithoutValidList += harness.gateway.discovery().isListValid() ? 0 : 1;
  }

  /**
   * Injects an event, or none.
   *
   * @param percentile a number below 100; its range selects the kind of event
   */
  private void injectEvent(int percentile) {
    if (percentile < 22) {
      changedServers.add(1 + random.nextInt(2));
      drains.add(random.nextInt(3) > 0);
    } else if (percentile < 25) {
      randomAddress().unresponsive ^= true;
    } else if (percentile < 26) {
      randomAddress().overloaded = polled && random.nextInt(3) > 0;
    } else if (percentile < 30) {
      switchAddress();
    } else if (percentile < 36) {
      openConnections().stream().findFirst().ifPresent(this::close);
    } else if (percentile < 39) {
      stalled.addAll(openConnections());
    } else if (percentile < 41) {
      restart();
    } else if (percentile < 80) {
      harness.request(harness.connect(), random.nextInt(4) == 0, 900);
    }
  }

  /** An address learns some of the new revisions, unless it is unresponsive. */
  private void learn(Address address) {
    List<Long> connections =
        openConnections().stream()
            .filter(number -> address(harness.connections.get(number).discoveryPort) == address)
            .toList();
    boolean allStalled = !connections.isEmpty() && stalled.containsAll(connections);
    for (int revision = address.revision() + 1;
        !address.unresponsive && random.nextInt(3) > 0 && revision < changedServers.size();
        revision++) {
      address.knownSince.put(revision, now());
      if (allStalled) {
        address.missed.add(revision);
      }
    }
  }

  // ---- Connections of the gateway to discovery

  private List<Long> openConnections() {
    return harness.connections.entrySet().stream()
        .filter(entry -> entry.getValue().discoveryPort != 0 && !entry.getValue().dropped)
        .map(entry -> entry.getKey())
        .toList();
  }

  private void close(long number) {
    harness.connections.get(number).dropped = true;
    harness.dispatch(gateway -> gateway.discovery().closed(number));
  }

  /** Each responsive address responds to all requests for which it has a response. */
  private void respondToAll() {
    for (long number : openConnections()) {
      FakeConnection connection = harness.connections.get(number);
      Duration closesAfter = connection.open ? CLOSE_AFTER_SWITCH : Duration.ZERO;
      if (connection.discoveryPort != currentPort
          && now().minus(switchedAt).compareTo(closesAfter) >= 0) {
        close(number);
      } else if (!stalled.contains(number)) {
        open(number, connection);
        Address address = address(connection.discoveryPort);
        boolean responded = true;
        while (responded && !address.unresponsive && !connection.dropped) {
          responded = respond(number, connection, address);
        }
      }
    }
  }

  private void open(long number, FakeConnection connection) {
    if (!connection.open) {
      connection.open = true;
      harness.dispatch(gateway -> gateway.discovery().connected(number));
    }
  }

  /** Returns false if there is no request, or no response to it yet. */
  private boolean respond(long number, FakeConnection connection, Address address) {
    Optional<DiscoveryRequest> received = DiscoveryRequest.parse(connection.received);
    if (received.isEmpty()) {
      return false;
    }
    if (connection.answeredAt == null && address.overloaded && random.nextInt(4) > 0) {
      reject(number, connection);
      return false;
    }
    connection.answeredAt = connection.answeredAt == null ? harness.now : connection.answeredAt;
    Duration waited = harness.now.minus(connection.answeredAt);
    if (address.overloaded
        && random.nextInt(MAX_QUEUE_MILLIS) > 100
        && waited.toMillis() < MAX_QUEUE_MILLIS) {
      return false;
    }
    DiscoveryRequest request = received.get();
    boolean changed = request.since() < address.revision();
    if (!changed && waited.toMillis() < request.waitMillis()) {
      return false;
    }
    sendList(number, connection, address, request);
    return true;
  }

  private void reject(long number, FakeConnection connection) {
    requestsRejected++;
    connection.takeReceived();
    harness.dispatch(gateway -> gateway.discovery().responseReceived(number, 503, new byte[0]));
  }

  private void sendList(
      long number, FakeConnection connection, Address address, DiscoveryRequest request) {
    int revision = address.revision();
    connection.takeReceived();
    connection.answeredAt = harness.now;
    sentRevision = Math.max(sentRevision, revision);
    for (int sent = 2; sent <= revision; sent++) {
      delivered.merge(sent, now(), DiscoveryModel::earlier);
    }
    byte[] body = body(request, revision).getBytes(StandardCharsets.UTF_8);
    harness.dispatch(gateway -> gateway.discovery().responseReceived(number, 200, body));
  }

  private String body(DiscoveryRequest request, int revision) {
    boolean complete = !request.isWatch();
    String members =
        request.since() >= revision
            ? ""
            : members(Math.max(0, request.since()), revision, complete);
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + complete
        + ",\"members\":["
        + members
        + "]}";
  }

  // ---- Endpoint lists

  /** Returns the entries of a complete list, or those that changed after a revision. */
  private String members(int since, int until, boolean complete) {
    return IntStream.range(0, SERVERS)
        .filter(server -> complete || changedServers.subList(since + 1, until + 1).contains(server))
        .mapToObj(
            server -> TestConfig.member(server, isDraining(server, until) ? "leaving" : "active"))
        .collect(Collectors.joining(","));
  }

  private boolean isDraining(int server, int revision) {
    int lastChange = changedServers.subList(0, revision + 1).lastIndexOf(server);
    return lastChange >= 0 && drains.get(lastChange);
  }
}
