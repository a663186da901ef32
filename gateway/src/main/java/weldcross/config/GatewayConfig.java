package weldcross.config;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import weldcross.routing.RequestClass;
import weldcross.routing.RoutingConfig;

/**
 * What one gateway is told at its start.
 *
 * @param sockets descriptors that the process may hold
 * @param methods names of the methods, in the order of the service's rows
 * @param peerListen where other gateways' messages arrive; null where there are none
 * @param idleClose a server closes a connection that has been idle for so long
 * @param stopSending a server that drains gets nothing new so long after that was told
 * @param reportsByProbe whether a probe is answered with a load report
 * @param known the server list as this gateway last had it
 */
public record GatewayConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    RoutingConfig service,
    List<String> methods,
    List<String> tenants,
    List<String> zones,
    InetSocketAddress peerListen,
    InetSocketAddress peersAll,
    Duration idleClose,
    Duration connectTimeout,
    Duration stopSending,
    boolean reportsByProbe,
    ConfigValues known) {

  /**
   * Reads the file that the environment names; the environment's own values stand in for absent
   * keys.
   */
  public static GatewayConfig read(Map<String, String> environment) {
    return of(
        file(environment.getOrDefault("NODE_CONFIG", ""))
            .orElse(
                Map.of(
                    "name", environment.getOrDefault("NODE_NAME", ""),
                    "listen", environment.getOrDefault("NODE_LISTEN", ""),
                    "discovery", environment.getOrDefault("NODE_DISCOVERY", ""))));
  }

  public static GatewayConfig read(String file) {
    return of(file(file));
  }

  private static ConfigValues file(String file) {
    try {
      if (!file.isEmpty()) {
        return ConfigValues.ofJson(Files.readAllBytes(Path.of(file)));
      }
    } catch (InvalidConfigException e) {
      throw new InvalidConfigException(
          "NODE_CONFIG", "'" + file + "' (" + e.getMessage() + ")", "the path of a JSON object");
    } catch (IOException | InvalidPathException e) {
      throw new InvalidConfigException(
          "NODE_CONFIG",
          "'" + file + "' (" + e.getClass().getSimpleName() + ")",
          "the path of a readable file");
    }
    throw new InvalidConfigException("NODE_CONFIG", "nothing", "the path of the configuration");
  }

  public static GatewayConfig of(ConfigValues told) {
    ConfigValues settings = told.under("settings");
    RoutingConfig service = ConfigReader.service(settings);
    if (service.requestClasses().isEmpty()) {
      throw settings.fault("categories", "a list of methods");
    }
    List<String> methods = new ArrayList<>();
    for (int k = 0; k < service.requestClasses().size(); k++) {
      methods.add(settings.text("categories." + k + ".name"));
    }
    List<String> tenants = new ArrayList<>();
    for (int k = 0; k < settings.count("tenants"); k++) {
      tenants.add(settings.text("tenants." + k + ".name"));
    }
    boolean peers = service.gossip() && told.has("peer_listen");
    boolean reportsByProbe =
        settings.word("report.source", "none", "probe", "answers").equals("probe");
    return new GatewayConfig(
        told.text("name"),
        told.address("listen"),
        told.address("discovery"),
        seed(told),
        (int) told.whole("limits.sockets", 1024, 64),
        service,
        List.copyOf(methods),
        List.copyOf(tenants),
        settings.list("zones"),
        peers ? told.address("peer_listen") : null,
        peers ? told.address("peers_all") : null,
        settings.span("bounds.idleClose", Duration.ofSeconds(30)),
        settings.span("bounds.connectTimeout", Duration.ofMillis(250)),
        settings.span("invariants.stopSendingWithin", Duration.ofSeconds(2)),
        reportsByProbe,
        told.under("known"));
  }

  /**
   * The same on loopback ports that the system picks, with a group of servers and a discovery at
   * those given.
   */
  public GatewayConfig alone(int discovery, int... servers) {
    InetAddress here = InetAddress.getLoopbackAddress();
    InetSocketAddress free = new InetSocketAddress(here, 0);
    StringBuilder list =
        new StringBuilder("revision=0 complete=true members.count=" + servers.length);
    for (int k = 0; k < servers.length; k++) {
      String member = " members." + k + ".";
      list.append(member)
          .append("id=s-")
          .append(k)
          .append(member)
          .append("cell=0")
          .append(member)
          .append("host_port=127.0.0.1:")
          .append(servers[k])
          .append(member)
          .append("phase=active");
    }
    return new GatewayConfig(
        name,
        free,
        new InetSocketAddress(here, discovery),
        seed,
        sockets,
        service,
        methods,
        tenants,
        zones,
        free,
        new InetSocketAddress(here, discovery),
        idleClose,
        connectTimeout,
        stopSending,
        reportsByProbe,
        ConfigValues.ofPairs(list.toString().split(" "), 0));
  }

  /**
   * The keys whose new values only a restart brings into force; seed and known list are a start's
   * own.
   */
  public List<String> keysThatDiffer(GatewayConfig next) {
    List<String> keys = new ArrayList<>();
    differ(keys, "name", name, next.name);
    differ(keys, "listen", listen, next.listen);
    differ(keys, "limits.sockets", sockets, next.sockets);
    differ(keys, "peer_listen", peerListen, next.peerListen);
    differ(keys, "peers_all", peersAll, next.peersAll);
    differ(
        keys,
        "settings",
        List.of(
            service,
            methods,
            tenants,
            zones,
            idleClose,
            connectTimeout,
            stopSending,
            reportsByProbe),
        List.of(
            next.service,
            next.methods,
            next.tenants,
            next.zones,
            next.idleClose,
            next.connectTimeout,
            next.stopSending,
            next.reportsByProbe));
    return keys;
  }

  private static void differ(List<String> keys, String key, Object before, Object after) {
    if (!Objects.equals(before, after)) {
      keys.add(key);
    }
  }

  /** What would be served, for a person to read. */
  public String describe() {
    StringBuilder words =
        new StringBuilder("gateway ")
            .append(name)
            .append(" on ")
            .append(plain(listen))
            .append(", list from ")
            .append(plain(discovery))
            .append(", ")
            .append(known.count("members"))
            .append(" servers known, ")
            .append(sockets)
            .append(" descriptors, one of ")
            .append(service.gateways())
            .append(" gateways");
    for (int k = 0; k < methods.size(); k++) {
      RequestClass row = service.requestClasses().get(k);
      words
          .append("\n  ")
          .append(methods.get(k))
          .append(": ")
          .append(plain(row.consistency()))
          .append(
              row.stalenessBound().isZero() ? "" : " " + row.stalenessBound().toMillis() + " ms")
          .append(", ")
          .append(plain(row.effect()))
          .append(", soft deadline ")
          .append(row.latencyObjective().toMillis())
          .append(" ms, utility ")
          .append(row.priorityWeight());
    }
    return words.toString();
  }

  private static String plain(Enum<?> word) {
    return word.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static String plain(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  private static long seed(ConfigValues told) {
    try {
      return Long.parseUnsignedLong(told.text("seed"), 16);
    } catch (NumberFormatException e) {
      throw told.fault("seed", "up to 16 hex digits");
    }
  }
}
