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

/** Maps the keys of the extensions file to {@link ExtensionsConfig}. */
final class ExtensionsConfigReader {

  /**
   * All keys that the file may contain, with {@code *} for list indexes. Other keys are rejected,
   * because a misspelt key would otherwise silently keep its default.
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

  private static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofMillis(250);
  private static final int DEFAULT_HEARTBEATS_UNTIL_TIMEOUT = 6;
  private static final int MIN_HEARTBEATS_UNTIL_TIMEOUT = 2;
  private static final Duration DEFAULT_MIN_BACKOFF = Duration.ofMillis(100);
  private static final Duration DEFAULT_MAX_BACKOFF = Duration.ofSeconds(5);
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration DEFAULT_VIEW_POLL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEFAULT_QUOTA_RAISE_DELAY = Duration.ofSeconds(30);
  private static final int MAX_VOTERS = 7;

  /** In thousandths. */
  private static final int DEFAULT_TRAFFIC_WEIGHT = 1000;

  private static final int DEFAULT_MAX_QUEUED = 4096;
  private static final int DEFAULT_MAX_QUEUED_KIBIBYTES = 4096;
  private static final int MAX_KIBIBYTES = Integer.MAX_VALUE >> 10;

  private final ConfigValues values;
  private final ConfigValues link;
  private final String gatewayName;

  /** Peers in the order of the file. */
  private final List<PeerName> peers = new ArrayList<>();

  private final Map<PeerName, InetSocketAddress> connectAddresses = new TreeMap<>();

  /** Datagram addresses of the peers that have one. */
  private final Map<PeerName, InetSocketAddress> gossipAddresses = new TreeMap<>();

  ExtensionsConfigReader(ConfigValues values, String gatewayName) {
    this.values = values;
    this.link = values.subtree("link");
    this.gatewayName = gatewayName;
  }

  ExtensionsConfig read() {
    values.rejectUnknownKeys(KEYS);
    Path directory = directory();
    if (!link.has("cluster") && !link.has("listen")) {
      rejectTablesThatNeedMesh();
      return new ExtensionsConfig(
          directory, Optional.empty(), Optional.empty(), Optional.empty(), controlAddress());
    }
    PeerName self = new PeerName(link.text("name", gatewayName));
    readPeers(self);
    ExtensionsConfig.Mesh mesh = mesh(self);
    Optional<FailureDetectorConfig> failureDetector = failureDetector(self);
    return new ExtensionsConfig(
        directory,
        Optional.of(mesh),
        failureDetector,
        consensus(self, failureDetector),
        controlAddress());
  }

  private Path directory() {
    try {
      return Path.of(values.text("directory"));
    } catch (InvalidPathException e) {
      throw values.invalid("directory", "the path of a directory");
    }
  }

  private void rejectTablesThatNeedMesh() {
    if (values.has("membership.part") || values.has("membership.period_ms")) {
      throw values.invalid("link.cluster", "a value, because [membership] requires [link]");
    }
    if (values.has("agreement.voters")) {
      throw values.invalid("link.cluster", "a value, because [agreement] requires [link]");
    }
  }

  private void readPeers(PeerName self) {
    for (int index = 0; index < link.count("peers"); index++) {
      ConfigValues peer = link.subtree("peers." + index);
      PeerName name = new PeerName(peer.text("name"));
      if (name.equals(self) || peers.contains(name)) {
        throw peer.invalid("name", "a name that is unique among the gateways");
      }
      peers.add(name);
      connectAddresses.put(name, peer.address("call"));
      if (peer.has("tell")) {
        gossipAddresses.put(name, peer.address("tell"));
      }
    }
  }

  private ExtensionsConfig.Mesh mesh(PeerName self) {
    Duration heartbeat = link.millis("beat_ms", DEFAULT_HEARTBEAT_INTERVAL, 10);
    Duration heartbeatTimeout =
        link.millis(
            "stalled_after_ms", heartbeat.multipliedBy(DEFAULT_HEARTBEATS_UNTIL_TIMEOUT), 10);
    if (heartbeatTimeout.compareTo(heartbeat.multipliedBy(MIN_HEARTBEATS_UNTIL_TIMEOUT)) < 0) {
      throw link.invalid(
          "stalled_after_ms", "at least twice beat_ms, because one heartbeat may be late");
    }
    Duration minBackoff = link.millis("shortest_rest_ms", DEFAULT_MIN_BACKOFF, 1);
    Duration maxBackoff = link.millis("longest_rest_ms", DEFAULT_MAX_BACKOFF, 1);
    if (maxBackoff.compareTo(minBackoff) < 0) {
      throw link.invalid("longest_rest_ms", "at least shortest_rest_ms");
    }
    MeshConfig config =
        new MeshConfig(
            link.text("cluster"),
            self,
            List.copyOf(peers),
            heartbeat,
            heartbeatTimeout,
            link.millis("dial_within_ms", DEFAULT_CONNECT_TIMEOUT, 10),
            minBackoff,
            maxBackoff,
            (int) link.integer("most_waiting", DEFAULT_MAX_QUEUED, 1),
            maxQueuedBytes());
    return new ExtensionsConfig.Mesh(config, addresses());
  }

  private int maxQueuedBytes() {
    long kibibytes = link.integer("most_kilobytes", DEFAULT_MAX_QUEUED_KIBIBYTES, 1);
    return (int) Math.min(MAX_KIBIBYTES, kibibytes) << 10;
  }

  private PeerAddresses addresses() {
    return new PeerAddresses(
        link.address("listen"),
        link.has("datagrams") ? Optional.of(link.address("datagrams")) : Optional.empty(),
        connectAddresses,
        gossipAddresses);
  }

  private Optional<FailureDetectorConfig> failureDetector(PeerName self) {
    ConfigValues membership = values.subtree("membership");
    if (!membership.has("part")) {
      return Optional.empty();
    }
    if (gossipAddresses.size() < peers.size()) {
      throw membership.invalid("part", "only if each of link.peers has a tell address");
    }
    FailureDetectorConfig defaults =
        FailureDetectorConfig.defaults(
            self,
            List.copyOf(peers),
            membership.text("zone", ""),
            (int) membership.integer("part", DEFAULT_TRAFFIC_WEIGHT, 0));
    Duration probeInterval = membership.millis("period_ms", defaults.probeInterval(), 50);
    Duration probeTimeout =
        membership.millis("answer_within_ms", probeInterval.multipliedBy(2).dividedBy(5), 10);
    if (probeTimeout.compareTo(probeInterval) >= 0) {
      throw membership.invalid(
          "answer_within_ms", "less than period_ms, which leaves time for indirect probes");
    }
    return Optional.of(
        new FailureDetectorConfig(
            self,
            defaults.peers(),
            defaults.zone(),
            defaults.trafficWeight(),
            probeInterval,
            probeTimeout,
            defaults.indirectProbes(),
            defaults.minSuspicionIntervals(),
            defaults.maxSuspicionFactor(),
            defaults.maxUpdatesPerMessage(),
            defaults.retransmitFactor()));
  }

  private Optional<ConsensusConfig> consensus(
      PeerName self, Optional<FailureDetectorConfig> failureDetector) {
    if (!values.has("agreement.voters")) {
      return Optional.empty();
    }
    FailureDetectorConfig detector =
        failureDetector.orElseThrow(
            () ->
                values.invalid(
                    "agreement.voters",
                    "only with a [membership] table, which detects ended gateways"));
    ConfigValues agreement = values.subtree("agreement");
    List<PeerName> voters = voters(agreement, self);
    long heartbeatSeconds = agreement.integer("heartbeat_s", 1, 1);
    long electionTimeoutSeconds = agreement.integer("silence_s", 2, 2);
    if (electionTimeoutSeconds <= heartbeatSeconds) {
      throw agreement.invalid("silence_s", "more than heartbeat_s");
    }
    return Optional.of(
        new ConsensusConfig(
            groupName(voters),
            self,
            detector.zone(),
            detector.trafficWeight(),
            voters,
            agreement.millis("period_ms", DEFAULT_VIEW_POLL_INTERVAL, 50),
            agreement.millis("share_after_ms", DEFAULT_QUOTA_RAISE_DELAY, 0),
            agreement.flag("trust_disk", false),
            Duration.ofSeconds(heartbeatSeconds),
            Duration.ofSeconds(electionTimeoutSeconds)));
  }

  /** Returns the voters sorted, so that all gateways use the same order. */
  private List<PeerName> voters(ConfigValues agreement, PeerName self) {
    List<PeerName> voters = new ArrayList<>();
    for (String text : agreement.list("voters")) {
      PeerName name = new PeerName(text);
      if (voters.contains(name) || (!name.equals(self) && !peers.contains(name))) {
        throw agreement.invalid(
            "voters", "a list of distinct names of this gateway and of link.peers");
      }
      voters.add(name);
    }
    if (voters.size() % 2 == 0 || voters.size() > MAX_VOTERS) {
      throw agreement.invalid(
          "voters", "1, 3, 5 or 7 voters, because an even number tolerates no more failures");
    }
    Collections.sort(voters);
    return List.copyOf(voters);
  }

  private String groupName(List<PeerName> voters) {
    return link.text("cluster")
        + "/"
        + voters.stream().map(PeerName::name).collect(Collectors.joining(","));
  }

  /**
   * Requires a loopback address, because the endpoint gives operator access without authentication.
   */
  private Optional<InetSocketAddress> controlAddress() {
    if (!values.has("control.listen")) {
      return Optional.empty();
    }
    if (!values.has("agreement.voters")) {
      throw values.invalid(
          "control.listen", "only with an [agreement] table, whose state it reports");
    }
    InetSocketAddress address = values.address("control.listen");
    if (!address.getAddress().isLoopbackAddress()) {
      throw values.invalid(
          "control.listen", "a loopback address, because requests are not authenticated");
    }
    return Optional.of(address);
  }
}
