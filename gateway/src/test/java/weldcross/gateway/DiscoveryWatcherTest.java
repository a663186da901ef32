package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Rule 3 against a model of two addresses of discovery, late, silent, mute, behind, cut off or
 * moved away from.
 */
class DiscoveryWatcherTest {

  private static final Duration DRAIN = Duration.ofMillis(2050);
  private static final Duration AFTER_RELOAD = Duration.ofSeconds(4);

  /** An address that was moved away from closes what is open, and takes nothing new. */
  private static final Duration CLOSES = Duration.ofMillis(1500);

  /** What a watch that fell silent misses counts as told this long after the address had it. */
  private static final Duration AFTER_SILENCE = Duration.ofSeconds(6);

  /** On request: or this long after the end of its wait, if that is later. */
  private static final Duration AFTER_WAIT = Duration.ofSeconds(2);

  /** On request: calls wait so long in line at most, and are refused where the line is longer. */
  private static final int LINE_MILLIS = 2000;

  private static final Pattern ASKED =
      Pattern.compile("GET /catalog/members(\\?since=(\\d+)&timeout_ms=(\\d+))? HTTP[\\s\\S]*");

  /** One address: what it has of the list, and when it had it. */
  private static final class Agent {
    final TreeMap<Integer, Duration> had = new TreeMap<>();

    /** What it had while all that was open to it was mute. */
    final Set<Integer> missed = new HashSet<>();

    boolean silent, busy;

    int has() {
      return had.isEmpty() ? 1 : had.lastKey();
    }
  }

  /** The list as it truly is, who knows it, and one gateway that lives, restarts and is watched. */
  private static final class Model {
    final SplittableRandom random;

    /**
     * Each change's server and whether it drains from then on; the first stands for the list of the
     * start.
     */
    final List<Integer> servers = new ArrayList<>(List.of(0, 0));

    final List<Boolean> drains = new ArrayList<>(List.of(false, false));
    final Agent[] agents = {null, new Agent(), new Agent()};

    /** When each change counts as told to the gateway. */
    final TreeMap<Integer, Duration> told = new TreeMap<>();

    /** Connections that stay open and on which nothing more comes. */
    final Set<Long> mute = new HashSet<>();

    final boolean onRequest;
    GatewayHarness w;
    Duration before = Duration.ZERO, movedAt = Duration.ofDays(-1);
    int at = 1, sent, held, delivered, refused;

    Model(long seed, boolean onRequest) {
      random = new SplittableRandom(seed);
      this.onRequest = onRequest;
      begin(1);
    }

    Duration now() {
      return w == null ? before : before.plus(w.now);
    }

    /** A process, which was left a list of this revision by the one before. */
    void begin(int known) {
      before = now();
      String members = members(0, known, true);
      byte[] config =
          new String(
                  TestConfig.json(
                      "\"revision\":1",
                      "\"revision\":" + known,
                      "127.0.0.1:1\"",
                      "127.0.0.1:" + at + "\"",
                      ON_REQUEST[0],
                      ON_REQUEST[onRequest ? 1 : 0]),
                  StandardCharsets.UTF_8)
              .replaceAll(
                  "(\"known\".*?\"members\":\\[).*?(\\]\\},\"settings\")", "$1" + members + "$2")
              .getBytes(StandardCharsets.UTF_8);
      w = new GatewayHarness(config);
      mute.clear();
      agents[1].missed.clear();
      agents[2].missed.clear();
      delivered = 0;
      forgetUnheard();
      w.onSent = this::check;
    }

    String members(int since, int until, boolean whole) {
      return java.util.stream.IntStream.range(0, 3)
          .filter(s -> whole || servers.subList(since + 1, until + 1).contains(s))
          .mapToObj(s -> TestConfig.member(s, isDraining(s, until) ? "leaving" : "active"))
          .collect(Collectors.joining(","));
    }

    boolean isDraining(int server, int revision) {
      int last = servers.subList(0, revision + 1).lastIndexOf(server);
      return last >= 0 && drains.get(last);
    }

    /** What goes out goes to no server whose drain was told longer ago than it allows. */
    void check(String server) {
      sent++;
      noteTold();
      int s = server.charAt(2) - '0';
      Duration limit = now().minus(DRAIN);
      told.entrySet().stream()
          .filter(e -> e.getValue().compareTo(limit) < 0)
          .mapToInt(e -> e.getKey())
          .max()
          .ifPresent(
              r -> {
                boolean back =
                    told.tailMap(r, false).keySet().stream()
                        .anyMatch(n -> servers.get(n) == s && !drains.get(n));
                RequestHistory.check(
                    !isDraining(s, r) || back,
                    "rule 3: sent at "
                        + now()
                        + " to "
                        + server
                        + ", whose drain was told by change "
                        + r
                        + " at "
                        + told.get(r));
              });
    }

    /**
     * What only an address has that is left, and that never spoke to this process, is nothing it
     * could know.
     */
    void forgetUnheard() {
      told.keySet().removeIf(r -> r > Math.max(delivered, agents[at].has()));
    }

    /**
     * Whatever the address has that the gateway was told to ask; a move counts from four seconds
     * later.
     */
    void noteTold() {
      agents[at].had.forEach(
          (revision, had) -> {
            Duration moved = movedAt.plus(AFTER_RELOAD);
            Duration bound =
                onRequest
                    ? overdue(had)
                    : agents[at].missed.contains(revision) ? had.plus(AFTER_SILENCE) : had;
            Duration counts = moved.compareTo(bound) > 0 ? moved : bound;
            if (counts.compareTo(now()) <= 0) {
              told.merge(revision, counts, (a, b) -> a.compareTo(b) < 0 ? a : b);
            }
          });
    }

    /** What was not told by a call counts in the end: later only while a watch is waited for. */
    Duration overdue(Duration had) {
      Duration latest = had.plus(AFTER_SILENCE);
      for (long link : open()) {
        FakeConnection wire = w.connections.get(link);
        Matcher m = ASKED.matcher(wire.received);
        if (wire.discoveryPort == at
            && wire.answeredAt != null
            && m.matches()
            && m.group(3) != null) {
          Duration over =
              before
                  .plus(wire.answeredAt)
                  .plusMillis(Integer.parseInt(m.group(3)))
                  .plus(AFTER_WAIT);
          latest = over.compareTo(latest) > 0 ? over : latest;
        }
      }
      return latest;
    }

    void step() {
      int kind = random.nextInt(100);
      if (kind < 22) {
        servers.add(1 + random.nextInt(2));
        drains.add(random.nextInt(3) > 0);
      } else if (kind < 25) {
        agents[1 + random.nextInt(2)].silent ^= true;
      } else if (kind < 26) {
        agents[1 + random.nextInt(2)].busy = onRequest && random.nextInt(3) > 0;
      } else if (kind < 30) {
        noteTold();
        at = 3 - at;
        movedAt = now();
        forgetUnheard();
        w.reload(at);
      } else if (kind < 36) {
        open().stream().findFirst().ifPresent(this::cut);
      } else if (kind < 39) {
        mute.addAll(open());
      } else if (kind < 41) {
        noteTold();
        begin(1 + random.nextInt(agents[at].has()));
      } else if (kind < 80) {
        w.request(w.connect(), random.nextInt(4) == 0, 900);
      }
      for (Agent agent : List.of(agents[1], agents[2])) {
        List<Long> toIt =
            open().stream()
                .filter(l -> agents[w.connections.get(l).discoveryPort] == agent)
                .toList();
        for (int r = agent.has() + 1;
            !agent.silent && random.nextInt(3) > 0 && r < servers.size();
            r++) {
          agent.had.put(r, now());
          if (!toIt.isEmpty() && mute.containsAll(toIt)) {
            agent.missed.add(r);
          }
        }
      }
      discoverySpeaks();
      if (random.nextInt(3) > 0) {
        w.busyConnections().forEach(l -> w.answer(l, null));
      }
      for (int k = random.nextInt(30) == 0 ? random.nextInt(150) : 1; k > 0; k--) {
        w.advance(1 + random.nextInt(100));
        discoverySpeaks();
      }
      held += w.gateway.discovery().isListValid() ? 0 : 1;
    }

    List<Long> open() {
      return w.connections.entrySet().stream()
          .filter(e -> e.getValue().discoveryPort != 0 && !e.getValue().dropped)
          .map(e -> e.getKey())
          .toList();
    }

    void cut(long link) {
      w.connections.get(link).dropped = true;
      w.dispatch(g -> g.discovery().closed(link));
    }

    /**
     * Everything that is asked is answered as soon as there is something to answer, by whoever is
     * not silent.
     */
    void discoverySpeaks() {
      for (long link : open()) {
        FakeConnection wire = w.connections.get(link);
        Agent agent = agents[wire.discoveryPort];
        Duration stays = wire.open ? CLOSES : Duration.ZERO;
        if (wire.discoveryPort != at && now().minus(movedAt).compareTo(stays) >= 0) {
          cut(link);
          continue;
        }
        if (mute.contains(link)) {
          continue;
        }
        if (!wire.open) {
          wire.open = true;
          w.dispatch(g -> g.discovery().connected(link));
        }
        for (Matcher m = ASKED.matcher(wire.received);
            !agent.silent && !wire.dropped && m.matches();
            m = ASKED.matcher(wire.received)) {
          int since = m.group(2) == null ? -1 : Integer.parseInt(m.group(2));
          if (wire.answeredAt == null && agent.busy && random.nextInt(4) > 0) {
            refused++;
            wire.takeReceived();
            w.dispatch(g -> g.discovery().responseReceived(link, 503, new byte[0]));
            break;
          }
          wire.answeredAt = wire.answeredAt == null ? w.now : wire.answeredAt;
          if (agent.busy
              && random.nextInt(LINE_MILLIS) > 100
              && w.now.minus(wire.answeredAt).toMillis() < LINE_MILLIS) {
            break;
          }
          Duration waits = Duration.ofMillis(m.group(3) == null ? 0 : Integer.parseInt(m.group(3)));
          if (since >= agent.has() && w.now.minus(wire.answeredAt).compareTo(waits) < 0) {
            break;
          }
          boolean whole = since < 0;
          String text =
              "{\"revision\":"
                  + agent.has()
                  + ",\"complete\":"
                  + whole
                  + ",\"members\":["
                  + (since >= agent.has() ? "" : members(Math.max(0, since), agent.has(), whole))
                  + "]}";
          wire.takeReceived();
          wire.answeredAt = w.now;
          delivered = Math.max(delivered, agent.has());
          for (int r = 2; r <= agent.has(); r++) {
            told.merge(r, now(), (a, b) -> a.compareTo(b) < 0 ? a : b);
          }
          w.dispatch(
              g ->
                  g.discovery().responseReceived(link, 200, text.getBytes(StandardCharsets.UTF_8)));
        }
      }
    }
  }

  private static final String[] ON_REQUEST = {
    "\"nInstances\":2", "\"nInstances\":2,\"discovery\":\"on_request\""
  };

  private static Model play(long seed, boolean onRequest) {
    Model model = new Model(seed, onRequest);
    for (int step = 0; step < 1500; step++) {
      model.step();
    }
    return model;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void nothingGoesOutToAServerLaterThanItsDrainAllows(long seed) {
    Model model = play(seed, false);
    assertTrue(model.sent > 200, "too little was sent to show anything: " + model.sent);
    assertTrue(model.held > 0 && model.held < 750, "the list lapsed in " + model.held + " steps");
  }

  /** One service for all gateways: calls wait in line, and are refused. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void norWhereTheListComesOnRequest(long seed) {
    Model model = play(seed, true);
    // A watch that is mute is found only at its end, and what is refused waits.
    assertTrue(
        model.refused > 20 && model.sent > 100,
        model.refused + " refused, " + model.sent + " sent");
    assertTrue(model.held > 0 && model.held < 1_200, "the list lapsed in " + model.held + " steps");
  }

  private static void assertServes(GatewayHarness w, boolean serves) {
    String id = w.request(w.connect(), true, 500);
    for (int k = 0; k < 10; k++) {
      w.busyConnections().forEach(l -> w.answer(l, null));
      w.advance(10);
    }
    assertEquals(serves, "ok".equals(w.history.answers.get(id)));
  }

  private static void refuse(GatewayHarness w) {
    long link = w.discovery;
    w.dispatch(g -> g.discovery().connected(link));
    w.connections.get(link).takeReceived();
    w.dispatch(g -> g.discovery().responseReceived(link, 503, new byte[0]));
  }

  /**
   * What it had before the refusal counts as told 6 s after the last word, and drains 2 s later.
   */
  @Test
  void discoveryThatRefusesLeavesTheListInForceForAWhile() {
    GatewayHarness w = GatewayHarness.serving(ON_REQUEST);
    w.discoveryAnswers = false;
    w.advance(1_000);
    refuse(w);
    w.advance(6_000);
    assertServes(w, true);
    w.advance(2_000);
    assertServes(w, false);
    while (w.connections.get(w.discovery).dropped) {
      w.advance(10);
    }
    w.dispatch(g -> g.discovery().connected(w.discovery));
    w.answerNoChange();
    assertServes(w, true);
  }

  /** Hundreds of gateways that ask anew at once, and for all of it, keep a busy discovery busy. */
  @Test
  void whoIsRefusedAsksEverMoreRarelyAndForChangesAlone() {
    GatewayHarness w = GatewayHarness.serving(ON_REQUEST);
    w.discoveryAnswers = false;
    int asked = 0;
    long before = 0;
    for (int ms = 0; ms < 10_000; ms += 10) {
      if (w.discovery != before) {
        before = w.discovery;
        w.dispatch(g -> g.discovery().connected(w.discovery));
        String call = w.connections.get(before).takeReceived();
        assertTrue(asked++ == 0 || call.contains("?since=1&timeout_ms=1 "), call);
        long link = before;
        w.dispatch(g -> g.discovery().responseReceived(link, 503, new byte[0]));
      }
      w.advance(10);
    }
    assertTrue(asked >= 5 && asked <= 12, asked + " calls in 10 s");
  }

  /** Given up and asked for anew, a call loses its place in the line and is worked on in vain. */
  @Test
  void callThatWaitsInLineIsNotGivenUp() {
    GatewayHarness w = new GatewayHarness(ON_REQUEST);
    long link = w.discovery;
    w.dispatch(g -> g.discovery().connected(link));
    w.advance(2_500);
    assertEquals(link, w.discovery);
    w.answerNoChange();
    w.advance(5);
    w.answerHealthChecks();
    assertServes(w, true);
    // The watch, too, may be answered so long after its wait.
    w.advance(12_300);
    assertEquals(link, w.discovery);
    w.advance(1_500);
    assertNotEquals(link, w.discovery, "it is silent");
  }
}
