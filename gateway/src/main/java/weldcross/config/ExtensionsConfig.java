package weldcross.config;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import weldcross.consensus.ConsensusConfig;
import weldcross.membership.FailureDetectorConfig;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerAddresses;
import weldcross.mesh.PeerName;

/**
 * What the parts that join a gateway are told at its start, by a file of their own. A table that is
 * absent is a part that does not join.
 *
 * @param directory where parts keep what must survive; each has its own below it
 * @param control where an operator of this machine asks and tells; null where nowhere
 */
public record ExtensionsConfig(
    Path directory,
    MeshConfig link,
    PeerAddresses places,
    FailureDetectorConfig seen,
    ConsensusConfig agreement,
    InetSocketAddress control) {

  /**
   * Every key that may stand in the file; a number in place of {@code *}. A key beyond these is a
   * mistake to be told, as it would else be passed over and the value in force be another.
   */
  private static final List<String> KEYS =
      List.of(
          "directory",
          "link.cluster",
          "link.name",
          "link.listen",
          "link.datagrams",
          "link.peers",
          "link.peers.*.name",
          "link.peers.*.call",
          "link.peers.*.tell",
          "link.beat_ms",
          "link.stalled_after_ms",
          "link.dial_within_ms",
          "link.shortest_rest_ms",
          "link.longest_rest_ms",
          "link.most_waiting",
          "link.most_kilobytes",
          "membership.zone",
          "membership.part",
          "membership.period_ms",
          "membership.answer_within_ms",
          "agreement.voters",
          "agreement.period_ms",
          "agreement.share_after_ms",
          "agreement.trust_disk",
          "agreement.heartbeat_s",
          "agreement.silence_s",
          "control.listen");

  /**
   * @param file the path of a TOML document
   * @param gateway whose name the link speaks under, unless the file says another
   * @throws InvalidConfigException naming the key and its line
   */
  public static ExtensionsConfig read(String file, GatewayConfig gateway) {
    return of(TomlConfigParser.read(file), gateway);
  }

  static ExtensionsConfig of(ConfigValues told, GatewayConfig gateway) {
    told.knowsOnly(KEYS);
    Path directory;
    try {
      directory = Path.of(told.text("directory"));
    } catch (InvalidPathException e) {
      throw told.fault("directory", "the path of a directory");
    }
    if (!told.has("link.cluster") && !told.has("link.listen")) {
      if (told.has("membership.part") || told.has("membership.period_ms")) {
        throw told.fault("link.cluster", "a link, by which gateways are seen");
      }
      if (told.has("agreement.voters")) {
        throw told.fault("link.cluster", "a link, by which gateways agree");
      }
      return new ExtensionsConfig(directory, null, null, null, null, control(told));
    }
    ConfigValues link = told.under("link");
    List<PeerName> names = new ArrayList<>();
    Map<PeerName, InetSocketAddress> calls = new TreeMap<>();
    Map<PeerName, InetSocketAddress> tells = new TreeMap<>();
    PeerName self = new PeerName(link.text("name", gateway.name()));
    for (int k = 0; k < link.count("peers"); k++) {
      ConfigValues peer = link.under("peers." + k);
      PeerName name = new PeerName(peer.text("name"));
      if (name.equals(self) || names.contains(name)) {
        throw peer.fault("name", "a name that no other gateway has");
      }
      names.add(name);
      calls.put(name, peer.address("call"));
      if (peer.has("tell")) {
        tells.put(name, peer.address("tell"));
      }
    }
    Duration beat = link.millis("beat_ms", Duration.ofMillis(250), 10);
    Duration stalled = link.millis("stalled_after_ms", beat.multipliedBy(6), 10);
    if (stalled.compareTo(beat.multipliedBy(2)) < 0) {
      throw link.fault(
          "stalled_after_ms", "at least twice beat_ms, as one sign of life may be late");
    }
    Duration shortest = link.millis("shortest_rest_ms", Duration.ofMillis(100), 1);
    Duration longest = link.millis("longest_rest_ms", Duration.ofSeconds(5), 1);
    if (longest.compareTo(shortest) < 0) {
      throw link.fault("longest_rest_ms", "no less than shortest_rest_ms");
    }
    FailureDetectorConfig seen = seen(told.under("membership"), self, names, tells);
    return new ExtensionsConfig(
        directory,
        new MeshConfig(
            link.text("cluster"),
            self,
            List.copyOf(names),
            beat,
            stalled,
            link.millis("dial_within_ms", Duration.ofSeconds(1), 10),
            shortest,
            longest,
            (int) link.whole("most_waiting", 4096, 1),
            (int) Math.min(Integer.MAX_VALUE >> 10, link.whole("most_kilobytes", 4096, 1)) << 10),
        new PeerAddresses(
            link.address("listen"),
            link.has("datagrams") ? Optional.of(link.address("datagrams")) : Optional.empty(),
            calls,
            tells),
        seen,
        agreement(told, link.text("cluster"), self, names, seen),
        control(told));
  }

  /** On this machine alone: whoever reaches it may do all that an operator may. */
  private static InetSocketAddress control(ConfigValues told) {
    if (!told.has("control.listen")) {
      return null;
    }
    if (!told.has("agreement.voters")) {
      throw told.fault("control.listen", "only with an [agreement], of which it tells");
    }
    InetSocketAddress at = told.under("control").address("listen");
    if (!at.getAddress().isLoopbackAddress()) {
      throw told.fault(
          "control.listen", "an address of the loopback, as it asks nobody who they are");
    }
    return at;
  }

  /** Null where the table is absent. */
  private static ConsensusConfig agreement(
      ConfigValues told,
      String cluster,
      PeerName self,
      List<PeerName> peers,
      FailureDetectorConfig seen) {
    if (!told.has("agreement.voters")) {
      return null;
    }
    if (seen == null) {
      throw told.fault(
          "agreement.voters", "only with a [membership], by which proof of ends comes");
    }
    ConfigValues agreement = told.under("agreement");
    List<PeerName> voters = new ArrayList<>();
    for (String each : agreement.list("voters")) {
      PeerName name = new PeerName(each);
      if (voters.contains(name) || (!name.equals(self) && !peers.contains(name))) {
        throw agreement.fault("voters", "this gateway and those of link.peers, each once");
      }
      voters.add(name);
    }
    if (voters.size() % 2 == 0 || voters.size() > 7) {
      throw agreement.fault(
          "voters", "1, 3, 5 or 7 of them, as an even number bears no more losses");
    }
    long heartbeat = agreement.whole("heartbeat_s", 1, 1);
    long silence = agreement.whole("silence_s", 2, 2);
    if (silence <= heartbeat) {
      throw agreement.fault("silence_s", "more than heartbeat_s");
    }
    Collections.sort(voters);
    return new ConsensusConfig(
        cluster + "/" + voters.stream().map(PeerName::name).collect(Collectors.joining(",")),
        self,
        seen.zone(),
        seen.trafficWeight(),
        List.copyOf(voters),
        agreement.millis("period_ms", Duration.ofSeconds(1), 50),
        agreement.millis("share_after_ms", Duration.ofSeconds(30), 0),
        agreement.flag("trust_disk", false),
        Duration.ofSeconds(heartbeat),
        Duration.ofSeconds(silence));
  }

  /** Null where the table is absent. */
  private static FailureDetectorConfig seen(
      ConfigValues told,
      PeerName self,
      List<PeerName> peers,
      Map<PeerName, InetSocketAddress> tells) {
    if (!told.has("part")) {
      return null;
    }
    if (tells.size() < peers.size()) {
      throw told.fault("part", "only with an address to tell for each of link.peers");
    }
    FailureDetectorConfig usual =
        FailureDetectorConfig.defaults(
            self, List.copyOf(peers), told.text("zone", ""), (int) told.whole("part", 1000, 0));
    Duration period = told.millis("period_ms", usual.probeInterval(), 50);
    Duration within = told.millis("answer_within_ms", period.multipliedBy(2).dividedBy(5), 10);
    if (within.compareTo(period) >= 0) {
      throw told.fault(
          "answer_within_ms", "less than period_ms, so that others can still be asked to try");
    }
    return new FailureDetectorConfig(
        self,
        usual.peers(),
        usual.zone(),
        usual.trafficWeight(),
        period,
        within,
        usual.indirectProbes(),
        usual.minSuspicion(),
        usual.maxSuspicionFactor(),
        usual.maxUpdatesPerMessage(),
        usual.retransmitFactor());
  }

  /** What would join, for a person to read. */
  public String describe() {
    return "  keeps its records in "
        + directory
        + (link == null
            ? ""
            : "\n  link: cluster "
                + link.cluster()
                + ", "
                + link.self()
                + " on "
                + places.listenAddress().getHostString()
                + ":"
                + places.listenAddress().getPort()
                + ", "
                + link.peers().size()
                + " peers, a beat each "
                + link.heartbeatInterval().toMillis()
                + " ms, stalled after "
                + link.heartbeatTimeout().toMillis()
                + " ms")
        + (seen == null
            ? ""
            : "\n  membership: "
                + (seen.zone().isEmpty() ? "" : "zone " + seen.zone() + ", ")
                + seen.trafficWeight()
                + " thousandths of the traffic, a probe each "
                + seen.probeInterval().toMillis()
                + " ms")
        + (agreement == null
            ? ""
            : "\n  agreement: voters "
                + agreement.voters()
                + (agreement.isVoter() ? ", one of them" : ""))
        + (control == null
            ? ""
            : "\n  control on " + control.getHostString() + ":" + control.getPort());
  }
}
