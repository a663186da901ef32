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
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A model of discovery with two addresses, and one gateway that is restarted and moved from one
 * address to the other. Random steps drain servers and make addresses silent, busy, late or mute.
 * At every request that the gateway sends, the model checks rule 3: no server gets one whose drain
 * was notified longer ago than the grace period.
 */
final class DiscoveryModel {

  /** A change of the configuration that has discovery polled; the first text is the unchanged. */
  static final String[] POLLED = {
    "\"nInstances\":2", "\"nInstances\":2,\"discovery\":\"on_request\""
  };

  private static final int SERVERS = 3;

  /** The grace period, and 50 ms for a request on its way. */
  private static final Duration GRACE_PERIOD = Duration.ofMillis(2050);

  /** What a new address knows counts as notified this long after the move. */
  private static final Duration NOTICE_AFTER_MOVE = Duration.ofSeconds(4);

  /** An address that was moved away from closes its connections after this, and accepts none. */
  private static final Duration CLOSE_AFTER_MOVE = Duration.ofMillis(1500);

  /** What a mute watch missed counts as notified this long after the address knew it. */
  private static final Duration NOTICE_AFTER_MUTE_WATCH = Duration.ofSeconds(6);

  /** If polled: or this long after the end of its wait, if that is later. */
  private static final Duration NOTICE_AFTER_WAIT = Duration.ofSeconds(2);

  /** If polled: longest time in the queue; beyond that requests are rejected. */
  private static final int MAX_QUEUE_MILLIS = 2000;

  private static final Pattern REQUEST =
      Pattern.compile("GET /catalog/members(\\?since=(\\d+)&timeout_ms=(\\d+))? HTTP[\\s\\S]*");

  /**
   * A request to discovery.
   *
   * @param since revision after which changes are requested; -1 for the complete list
   * @param waitMillis how long it may wait for changes
   */
  private record Request(int since, int waitMillis) {

    static Optional<Request> parse(CharSequence received) {
      Matcher matcher = REQUEST.matcher(received);
      if (!matcher.matches()) {
        return Optional.empty();
      }
      return Optional.of(
          matcher.group(1) == null
              ? new Request(-1, 0)
              : new Request(
                  Integer.parseInt(matcher.group(2)), Integer.parseInt(matcher.group(3))));
    }

    boolean isWatch() {
      return since >= 0;
    }
  }

  /** One address of discovery. */
  private static final class Address {

    /** The revisions that it knows beyond the first, with the time since when. */
    final TreeMap<Integer, Duration> knownSince = new TreeMap<>();

    /** The revisions that it learned while all connections to it were mute. */
    final Set<Integer> missed = new HashSet<>();

    boolean silent;
    boolean busy;

    int revision() {
      return knownSince.isEmpty() ? 1 : knownSince.lastKey();
    }
  }

  private final SplittableRandom random;
  private final boolean polled;

  /** The server that each revision changes; the first two stand for the list of the start. */
  private final List<Integer> changedServers = new ArrayList<>(List.of(0, 0));

  /** Whether the server drains from that revision on; else it is active again. */
  private final List<Boolean> drains = new ArrayList<>(List.of(false, false));

  /** By port, from 1 on. */
  private final List<Address> addresses = List.of(new Address(), new Address());

  /** When each revision counts as notified to the gateway. */
  private final TreeMap<Integer, Duration> notified = new TreeMap<>();

  /** Connections that stay open and on which nothing more arrives. */
  private final Set<Long> mute = new HashSet<>();

  private GatewayHarness harness;

  /** The time at which the current process of the gateway started. */
  private Duration startedAt = Duration.ZERO;

  private Duration movedAt = Duration.ofDays(-1);

  /** The port of the address that the gateway is configured with. */
  private int currentPort = 1;

  /** The newest revision that was sent to the current process. */
  private int sentRevision;

  /** Requests that the gateway has sent to servers. */
  int requestsSent;

  /** Requests of the gateway to discovery that were rejected. */
  int requestsRejected;

  /** Steps at whose end the gateway had no valid list. */
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

  /** Starts a process of the gateway, which the one before has left a list of this revision. */
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
    mute.clear();
    addresses.forEach(address -> address.missed.clear());
    sentRevision = 0;
    forgetUnknowable();
    harness.onSent = this::checkRequest;
  }

  private void restart() {
    noteNotified();
    start(1 + random.nextInt(address(currentPort).revision()));
  }

  private void move() {
    noteNotified();
    currentPort = 3 - currentPort;
    movedAt = now();
    forgetUnknowable();
    harness.reload(currentPort);
  }

  /** Checks rule 3 for a request that the gateway sends. */
  private void checkRequest(String serverName) {
    requestsSent++;
    noteNotified();
    int server = serverName.charAt(2) - '0';
    Duration limit = now().minus(GRACE_PERIOD);
    notified.entrySet().stream()
        .filter(entry -> entry.getValue().compareTo(limit) < 0)
        .mapToInt(entry -> entry.getKey())
        .max()
        .ifPresent(revision -> checkRequest(serverName, server, revision));
  }

  private void checkRequest(String serverName, int server, int revision) {
    boolean activeAgain =
        notified.tailMap(revision, false).keySet().stream()
            .anyMatch(later -> changedServers.get(later) == server && !drains.get(later));
    RequestHistory.check(
        !isDraining(server, revision) || activeAgain,
        "rule 3: sent at "
            + now()
            + " to "
            + serverName
            + ", whose drain was notified by revision "
            + revision
            + " at "
            + notified.get(revision));
  }

  // ---- What counts as notified

  /** Forgets what only an address knows that was left and never answered the current process. */
  private void forgetUnknowable() {
    int newest = Math.max(sentRevision, address(currentPort).revision());
    notified.keySet().removeIf(revision -> revision > newest);
  }

  /** Notes what the configured address knows and counts by now. */
  private void noteNotified() {
    Address current = address(currentPort);
    current.knownSince.forEach(
        (revision, since) -> {
          Duration notice =
              later(movedAt.plus(NOTICE_AFTER_MOVE), notice(current, revision, since));
          if (notice.compareTo(now()) <= 0) {
            notified.merge(revision, notice, DiscoveryModel::earlier);
          }
        });
  }

  private Duration notice(Address address, int revision, Duration since) {
    if (polled) {
      return noticeIfPolled(since);
    }
    return address.missed.contains(revision) ? since.plus(NOTICE_AFTER_MUTE_WATCH) : since;
  }

  /** Returns when a revision counts that no answer has brought; a watch may delay it. */
  private Duration noticeIfPolled(Duration since) {
    Duration latest = since.plus(NOTICE_AFTER_MUTE_WATCH);
    for (long number : openConnections()) {
      FakeConnection connection = harness.connections.get(number);
      Optional<Request> request = Request.parse(connection.received);
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

  /** Plays one random step, in which some time passes. */
  void step() {
    disturb(random.nextInt(100));
    addresses.forEach(this::learn);
    answerAll();
    if (random.nextInt(3) > 0) {
      harness.busyConnections().forEach(number -> harness.answer(number, null));
    }
    for (int left = random.nextInt(30) == 0 ? random.nextInt(150) : 1; left > 0; left--) {
      harness.advance(1 + random.nextInt(100));
      answerAll();
    }
    stepsWithoutValidList += harness.gateway.discovery().isListValid() ? 0 : 1;
  }

  private void disturb(int kind) {
    if (kind < 22) {
      changedServers.add(1 + random.nextInt(2));
      drains.add(random.nextInt(3) > 0);
    } else if (kind < 25) {
      randomAddress().silent ^= true;
    } else if (kind < 26) {
      randomAddress().busy = polled && random.nextInt(3) > 0;
    } else if (kind < 30) {
      move();
    } else if (kind < 36) {
      openConnections().stream().findFirst().ifPresent(this::close);
    } else if (kind < 39) {
      mute.addAll(openConnections());
    } else if (kind < 41) {
      restart();
    } else if (kind < 80) {
      harness.request(harness.connect(), random.nextInt(4) == 0, 900);
    }
  }

  /** An address learns of some changes, unless it is silent. */
  private void learn(Address address) {
    List<Long> connections =
        openConnections().stream()
            .filter(number -> address(harness.connections.get(number).discoveryPort) == address)
            .toList();
    boolean allMute = !connections.isEmpty() && mute.containsAll(connections);
    for (int revision = address.revision() + 1;
        !address.silent && random.nextInt(3) > 0 && revision < changedServers.size();
        revision++) {
      address.knownSince.put(revision, now());
      if (allMute) {
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

  /** Each address that is not silent answers all requests for which it has an answer. */
  private void answerAll() {
    for (long number : openConnections()) {
      FakeConnection connection = harness.connections.get(number);
      Duration closesAfter = connection.open ? CLOSE_AFTER_MOVE : Duration.ZERO;
      if (connection.discoveryPort != currentPort
          && now().minus(movedAt).compareTo(closesAfter) >= 0) {
        close(number);
      } else if (!mute.contains(number)) {
        open(number, connection);
        Address address = address(connection.discoveryPort);
        boolean answered = true;
        while (answered && !address.silent && !connection.dropped) {
          answered = answer(number, connection, address);
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

  /** Returns false if there is no request, or no answer for now. */
  private boolean answer(long number, FakeConnection connection, Address address) {
    Optional<Request> received = Request.parse(connection.received);
    if (received.isEmpty()) {
      return false;
    }
    if (connection.answeredAt == null && address.busy && random.nextInt(4) > 0) {
      reject(number, connection);
      return false;
    }
    connection.answeredAt = connection.answeredAt == null ? harness.now : connection.answeredAt;
    Duration waited = harness.now.minus(connection.answeredAt);
    if (address.busy
        && random.nextInt(MAX_QUEUE_MILLIS) > 100
        && waited.toMillis() < MAX_QUEUE_MILLIS) {
      return false;
    }
    Request request = received.get();
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

  private void sendList(long number, FakeConnection connection, Address address, Request request) {
    int revision = address.revision();
    boolean complete = !request.isWatch();
    String members =
        request.since() >= revision
            ? ""
            : members(Math.max(0, request.since()), revision, complete);
    String body =
        "{\"revision\":"
            + revision
            + ",\"complete\":"
            + complete
            + ",\"members\":["
            + members
            + "]}";
    connection.takeReceived();
    connection.answeredAt = harness.now;
    sentRevision = Math.max(sentRevision, revision);
    for (int sent = 2; sent <= revision; sent++) {
      notified.merge(sent, now(), DiscoveryModel::earlier);
    }
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    harness.dispatch(gateway -> gateway.discovery().responseReceived(number, 200, bytes));
  }

  // ---- The list

  /** Returns the entries of a list: all, or those that changed after a revision. */
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
