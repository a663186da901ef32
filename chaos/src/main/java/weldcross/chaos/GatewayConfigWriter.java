package weldcross.chaos;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import weldcross.chaos.load.RequestType;
import weldcross.chaos.proxy.FaultProxy;
import weldcross.chaos.scenario.Scenario;

/** Writes the configuration files of the gateways of a run. */
final class GatewayConfigWriter {

  private static final String CLUSTER = "trial";

  /** Sum of the traffic weights of all gateways. */
  private static final int TOTAL_WEIGHT = 1000;

  private final Scenario scenario;
  private final boolean trustDisks;
  private final FaultProxy proxy;
  private final List<GatewayNode> gateways;

  /**
   * Creates a writer.
   *
   * @param scenario the scenario to run
   * @param trustDisks whether voters are configured to assume that disks never lose synced data
   * @param proxy the proxy between the gateways
   * @param gateways all gateways of the run
   */
  GatewayConfigWriter(
      Scenario scenario, boolean trustDisks, FaultProxy proxy, List<GatewayNode> gateways) {
    this.scenario = scenario;
    this.trustDisks = trustDisks;
    this.proxy = proxy;
    this.gateways = gateways;
  }

  /** Writes the main configuration of a gateway, with the address of its discovery server. */
  void writeConfig(GatewayNode gateway, String discoveryAddress) throws IOException {
    List<RequestType> types = List.of(RequestType.values());
    String config =
        String.format(
            """
      {"name": "%s", "listen": "%s:%d", "discovery": "%s", "seed": "%x",
       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
       "known": {"revision": 0, "complete": true, "members": []},
       "settings": {"nInstances": %d, "myZone": 0, "zones": ["a"], "discovery": "pushed",
        "tenants": [{"name": "acme"}], "categories": [%s],
        "familyInfo": {"freshness": [%s], "lagAllowed": [%s], "tokenMode": "remembered"},
        "bounds": {"tryLimit": 10, "cancel": true, "mayProbe": true, "mayTell": false,
         "parallelTries": true, "retryAfter": true, "maxRetryAfter": 500000,
         "idleClose": 30000000, "connectTimeout": 250000},
        "invariants": {"mustAskIn": 10000000, "stopSendingWithin": 2000000, "coldFrom": 0.3,
         "cold": 5000000, "fallMultiple": 2.0, "fall": 1000000},
        "report": {"source": "probe"}}}
      """,
            gateway.name(),
            gateway.host().getHostAddress(),
            GatewayNode.CLIENT_PORT,
            discoveryAddress,
            7919L * (gateway.number() + 1),
            scenario.gateways(),
            join(types.stream().map(GatewayConfigWriter::category).toList()),
            join(types.stream().map(type -> quoted(type.freshness())).toList()),
            join(types.stream().map(GatewayConfigWriter::stalenessBoundMicros).toList()));
    Files.writeString(gateway.configFile(), config);
  }

  private static String category(RequestType type) {
    return String.format(
        "{\"name\": \"%s\", \"effect\": \"%s\", \"target\": %d, \"deadline\": %d,"
            + " \"worth\": 1.0, \"lateWorth\": 0.2}",
        type.className(),
        type.effect(),
        TimeUnit.NANOSECONDS.toMicros(type.latencyObjective().toNanos()),
        TimeUnit.NANOSECONDS.toMicros(type.deadline().toNanos()));
  }

  private static String stalenessBoundMicros(RequestType type) {
    return Long.toString(TimeUnit.NANOSECONDS.toMicros(type.stalenessBound().toNanos()));
  }

  /**
   * Writes the extension configuration of a gateway: the mesh, with a separate proxy route to each
   * peer, membership, and consensus if the scenario has voters.
   */
  void writeExtensions(GatewayNode gateway) throws IOException {
    StringBuilder toml = new StringBuilder();
    toml.append("directory = ").append(quoted(gateway.records().toString())).append("\n\n");
    appendMesh(toml, gateway);
    toml.append("\n[membership]\npart = ")
        .append(TOTAL_WEIGHT / scenario.gateways())
        .append("\nperiod_ms = 300\n");
    if (scenario.voters() > 0) {
      appendConsensus(toml, gateway);
    }
    Files.writeString(gateway.extensionsFile(), toml.toString());
  }

  private void appendMesh(StringBuilder toml, GatewayNode gateway) {
    String listen = gateway.host().getHostAddress() + ":" + GatewayNode.MESH_PORT;
    toml.append("[link]\ncluster = ").append(quoted(CLUSTER));
    toml.append("\nlisten = ").append(quoted(listen));
    toml.append("\ndatagrams = ").append(quoted(listen)).append("\n");
    for (GatewayNode peer : gateways) {
      if (peer != gateway) {
        InetSocketAddress target = new InetSocketAddress(peer.host(), GatewayNode.MESH_PORT);
        InetSocketAddress datagrams = proxy.openDatagramRoute(gateway.name(), peer.name(), target);
        String streams = proxy.openRoute(gateway.name(), peer.name(), target).hostPort();
        toml.append("\n[[link.peers]]\nname = ").append(quoted(peer.name()));
        toml.append("\ncall = ").append(quoted(streams));
        toml.append("\ntell = ").append(quoted(hostPort(datagrams))).append("\n");
      }
    }
  }

  private void appendConsensus(StringBuilder toml, GatewayNode gateway) {
    String voters =
        gateways.stream()
            .limit(scenario.voters())
            .map(voter -> quoted(voter.name()))
            .collect(Collectors.joining(", "));
    toml.append("\n[agreement]\nvoters = [").append(voters);
    toml.append("]\nperiod_ms = 300\nshare_after_ms = 2000\ntrust_disk = ").append(trustDisks);
    toml.append("\n\n[control]\nlisten = ").append(quoted(gateway.controlAddress())).append("\n");
  }

  private static String hostPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }

  private static String join(List<String> items) {
    return String.join(", ", items);
  }
}
