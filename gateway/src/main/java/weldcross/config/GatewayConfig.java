package weldcross.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import weldcross.routing.RequestClass;
import weldcross.routing.RoutingConfig;

/**
 * Configuration of one gateway.
 *
 * @param name the gateway's name, unique among gateways
 * @param listenAddress address on which clients connect
 * @param discoveryAddress address of the discovery, which provides the endpoint list
 * @param seed seed of all random decisions
 * @param maxDescriptors maximum number of open file descriptors, at least 64
 * @param routing configuration of the router
 * @param requestClassNames names of the request classes, in the order of {@link
 *     RoutingConfig#requestClasses}
 * @param tenants names of the tenants that are served; empty for all tenants
 * @param zones names of the zones in the order of their numbers
 * @param gossipListenAddress address on which gossip datagrams are received; null without gossip
 * @param gossipTargetAddress address to which each gossip datagram is sent once, and from which the
 *     network or a relay must deliver it to all other gateways; null without gossip
 * @param serverIdleTimeout idle timeout after which a server closes a connection
 * @param connectTimeout timeout for connecting to a server
 * @param drainGracePeriod time within which requests to a draining server must end
 * @param healthCheckReportsLoad whether the response to a health check is a load report
 * @param lastKnownEndpoints the endpoint list of the previous run; empty if there was none
 */
public record GatewayConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress discoveryAddress,
    long seed,
    int maxDescriptors,
    RoutingConfig routing,
    List<String> requestClassNames,
    List<String> tenants,
    List<String> zones,
    InetSocketAddress gossipListenAddress,
    InetSocketAddress gossipTargetAddress,
    Duration serverIdleTimeout,
    Duration connectTimeout,
    Duration drainGracePeriod,
    boolean healthCheckReportsLoad,
    ConfigValues lastKnownEndpoints) {

  /**
   * Reads the file named by {@code NODE_CONFIG}; {@code NODE_NAME}, {@code NODE_LISTEN} and {@code
   * NODE_DISCOVERY} provide defaults for its absent keys.
   *
   * @param environment the environment variables of the process
   * @throws InvalidConfigException if the file cannot be read or contains an invalid value
   */
  public static GatewayConfig read(Map<String, String> environment) {
    return GatewayConfigReader.fromEnvironment(environment);
  }

  /**
   * Reads a file.
   *
   * @param file path of a JSON document
   * @throws InvalidConfigException if the file cannot be read or contains an invalid value
   */
  public static GatewayConfig read(String file) {
    return GatewayConfigReader.fromFile(file);
  }

  /**
   * Reads the configuration from parsed values.
   *
   * @throws InvalidConfigException if a value is invalid
   */
  public static GatewayConfig of(ConfigValues values) {
    return GatewayConfigReader.fromValues(values);
  }

  /**
   * Returns a copy of this configuration with ephemeral loopback ports, the given discovery, and
   * the given servers as one replica group. Gossip is sent to the discovery's port, where nothing
   * receives datagrams, as there are no other gateways.
   *
   * @param discoveryPort loopback port of the discovery
   * @param serverPorts loopback ports of the servers
   */
  public GatewayConfig onLoopback(int discoveryPort, int... serverPorts) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    InetSocketAddress anyPort = new InetSocketAddress(loopback, 0);
    InetSocketAddress discovery = new InetSocketAddress(loopback, discoveryPort);
    return new GatewayConfig(
        name,
        anyPort,
        discovery,
        seed,
        maxDescriptors,
        routing,
        requestClassNames,
        tenants,
        zones,
        anyPort,
        discovery,
        serverIdleTimeout,
        connectTimeout,
        drainGracePeriod,
        healthCheckReportsLoad,
        endpointList(serverPorts));
  }

  /** Returns an endpoint list with one replica group, which the list calls a cell. */
  private static ConfigValues endpointList(int... serverPorts) {
    List<String> pairs = new ArrayList<>();
    pairs.add("revision=0");
    pairs.add("complete=true");
    pairs.add("members.count=" + serverPorts.length);
    for (int index = 0; index < serverPorts.length; index++) {
      String prefix = "members." + index + ".";
      pairs.add(prefix + "id=s-" + index);
      pairs.add(prefix + "cell=0");
      pairs.add(prefix + "host_port=127.0.0.1:" + serverPorts[index]);
      pairs.add(prefix + "phase=active");
    }
    return ConfigValues.ofPairs(pairs.toArray(new String[0]), 0);
  }

  /**
   * Returns the keys whose values differ and take effect only after a restart. The seed and the
   * last known endpoints are not compared: they are used only at startup, so a running gateway does
   * not need their new values. The discovery address takes effect without a restart.
   *
   * @param next the newly read configuration
   */
  public List<String> keysThatNeedRestart(GatewayConfig next) {
    List<String> keys = new ArrayList<>();
    addIfDifferent(keys, "name", name, next.name);
    addIfDifferent(keys, "listen", listenAddress, next.listenAddress);
    addIfDifferent(keys, "limits.sockets", maxDescriptors, next.maxDescriptors);
    addIfDifferent(keys, "peer_listen", gossipListenAddress, next.gossipListenAddress);
    addIfDifferent(keys, "peers_all", gossipTargetAddress, next.gossipTargetAddress);
    addIfDifferent(keys, "settings", settings(), next.settings());
    return keys;
  }

  /** Returns the components read from the subtree "settings", which is reported as a whole. */
  private List<Object> settings() {
    return List.of(
        routing,
        requestClassNames,
        tenants,
        zones,
        serverIdleTimeout,
        connectTimeout,
        drainGracePeriod,
        healthCheckReportsLoad);
  }

  private static void addIfDifferent(List<String> keys, String key, Object before, Object after) {
    if (!Objects.equals(before, after)) {
      keys.add(key);
    }
  }

  /** Returns a description for operators: one line for the gateway and one per request class. */
  public String describe() {
    StringBuilder text =
        new StringBuilder("gateway ")
            .append(name)
            .append(" on ")
            .append(describe(listenAddress))
            .append(", endpoint list from ")
            .append(describe(discoveryAddress))
            .append(", ")
            .append(lastKnownEndpoints.count("members"))
            .append(" servers in the last known list, at most ")
            .append(maxDescriptors)
            .append(" file descriptors, one of ")
            .append(routing.gateways())
            .append(" gateways");
    for (int index = 0; index < requestClassNames.size(); index++) {
      text.append("\n  ")
          .append(requestClassNames.get(index))
          .append(": ")
          .append(describe(routing.requestClasses().get(index)));
    }
    return text.toString();
  }

  private static String describe(RequestClass requestClass) {
    Duration stalenessBound = requestClass.stalenessBound();
    return describe(requestClass.consistency())
        + (stalenessBound.isZero() ? "" : " " + stalenessBound.toMillis() + " ms")
        + ", "
        + describe(requestClass.idempotency())
        + ", latency objective "
        + requestClass.latencyObjective().toMillis()
        + " ms, priority weight "
        + requestClass.priorityWeight();
  }

  private static String describe(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static String describe(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
