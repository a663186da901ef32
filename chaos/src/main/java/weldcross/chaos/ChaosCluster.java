package weldcross.chaos;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import weldcross.chaos.process.LoopbackSubnet;
import weldcross.chaos.process.ManagedProcesses;
import weldcross.chaos.proxy.FaultProxy;
import weldcross.chaos.proxy.Route;
import weldcross.chaos.scenario.Scenario;
import weldcross.fakes.FakeDiscoveryCatalog;
import weldcross.fakes.FakeDiscoveryServer;
import weldcross.fakes.FakePostgresServer;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * The hosts of one run: gateway processes, each with its own directory and address, fake servers,
 * fake discovery, and a fault proxy on every network path between them. Gateways are named n0, n1,
 * and so on, servers s0, s1, and so on; the other two hosts are {@code clients} and {@code
 * discovery}.
 */
public final class ChaosCluster implements AutoCloseable {

  private static final String CLIENTS = "clients";
  private static final String DISCOVERY = "discovery";
  private static final String ZONE = "a";

  private static final int PROXY_HOST = 2;
  private static final int DISCOVERY_HOST = 3;
  private static final int SERVER_HOST = 4;
  private static final int FIRST_GATEWAY_HOST = 10;

  private static final int SERVER_WORKERS = 8;
  private static final int SERVER_THREADS = 4;

  private final Path directory;
  private final LoopbackSubnet subnet;
  private final FaultProxy proxy;
  private final ManagedProcesses processes;
  private final ReplicatedStoreModel store = new ReplicatedStoreModel();
  private final ReplicatedStoreModel.Clock clock = new ReplicatedStoreModel.Clock();
  private final FakeDiscoveryCatalog catalog = new FakeDiscoveryCatalog();
  private final Map<String, FakePostgresServer> servers = new TreeMap<>();
  private final List<FakeDiscoveryServer> discoveryServers = new ArrayList<>();
  private final List<GatewayNode> gateways = new ArrayList<>();
  private final ScheduledExecutorService serverExecutor =
      Executors.newScheduledThreadPool(
          SERVER_THREADS,
          task -> {
            Thread thread = new Thread(task, "servers");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * Creates the hosts of a run and starts all but the gateways.
   *
   * @param scenario the scenario to run
   * @param seed seed of the proxy's random losses
   * @param directory directory of this run, not shared with another; created if absent
   * @throws IOException if an address cannot be bound or a file cannot be written
   */
  public ChaosCluster(Scenario scenario, long seed, Path directory) throws IOException {
    this(scenario, seed, directory, false);
  }

  /**
   * Creates the hosts of a run and starts all but the gateways.
   *
   * @param trustDisks whether voters are configured to assume that disks never lose synced data
   */
  ChaosCluster(Scenario scenario, long seed, Path directory, boolean trustDisks)
      throws IOException {
    this.directory = Files.createDirectories(directory).toAbsolutePath();
    this.subnet = LoopbackSubnet.reserve();
    this.processes = new ManagedProcesses();
    this.proxy = new FaultProxy(subnet.host(PROXY_HOST), seed);
    for (int number = 0; number < scenario.groups() * scenario.serversPerGroup(); number++) {
      addServer(scenario, number);
    }
    for (int number = 0; number < scenario.gateways(); number++) {
      addGateway(scenario, number);
    }
    GatewayConfigWriter configs = new GatewayConfigWriter(scenario, trustDisks, proxy, gateways);
    for (GatewayNode gateway : gateways) {
      configs.writeConfig(gateway, startDiscovery(gateway).hostPort());
      if (scenario.meshEnabled()) {
        configs.writeExtensions(gateway);
      }
    }
  }

  private void addServer(Scenario scenario, int number) throws IOException {
    boolean primary = number % scenario.serversPerGroup() == 0;
    FakePostgresServer server =
        new FakePostgresServer(
            "s" + number,
            number / scenario.serversPerGroup(),
            primary,
            scenario.replicaLag(),
            scenario.serviceTime(),
            SERVER_WORKERS,
            subnet.host(SERVER_HOST),
            store,
            clock,
            serverExecutor);
    servers.put(server.name(), server);
    publish(server);
  }

  private void addGateway(Scenario scenario, int number) throws IOException {
    String name = GatewayNode.nameOf(number);
    Path home = Files.createDirectories(directory.resolve(name));
    InetSocketAddress target =
        new InetSocketAddress(subnet.host(FIRST_GATEWAY_HOST + number), GatewayNode.CLIENT_PORT);
    Route clientRoute = proxy.openRoute(CLIENTS, name, target);
    gateways.add(
        new GatewayNode(number, home, target.getAddress(), clientRoute, scenario, processes));
  }

  /**
   * Starts a discovery server for one gateway, which lists servers at the addresses of that
   * gateway's routes through the proxy; returns the route to it.
   */
  private Route startDiscovery(GatewayNode gateway) throws IOException {
    Map<String, Route> routes = new HashMap<>();
    for (FakePostgresServer server : servers.values()) {
      routes.put(server.name(), proxy.openRoute(gateway.name(), server.name(), server.address()));
    }
    FakeDiscoveryServer discovery =
        new FakeDiscoveryServer(
            catalog, subnet.host(DISCOVERY_HOST), server -> routes.get(server).hostPort());
    discoveryServers.add(discovery);
    return proxy.openRoute(gateway.name(), DISCOVERY, discovery.address());
  }

  /** Publishes the current state of a server in the endpoint list, as active. */
  void publish(FakePostgresServer server) {
    publishAs("active", server);
  }

  /** Publishes a server in the endpoint list as draining. */
  void publishDraining(FakePostgresServer server) {
    publishAs("leaving", server);
  }

  private void publishAs(String phase, FakePostgresServer server) {
    catalog.publish(
        new FakeDiscoveryCatalog.Member(
            server.name(), server.group(), ZONE, phase, server.upSinceMillis()));
  }

  /**
   * Starts all gateways and waits until they are ready.
   *
   * @throws IOException if a gateway is not ready in time
   */
  public void start() throws IOException {
    for (GatewayNode gateway : gateways) {
      gateway.start();
    }
    for (GatewayNode gateway : gateways) {
      gateway.awaitReady();
    }
  }

  /**
   * Returns whether all gateways have the same membership view and it contains all of them.
   *
   * @return true if the logs of their current processes show this
   */
  public boolean hasConverged() {
    List<String> views = gateways.stream().map(GatewayNode::lastView).distinct().toList();
    return views.size() == 1
        && gateways.stream()
            .allMatch(gateway -> (" " + views.get(0)).contains(" " + gateway.name() + ":"));
  }

  /**
   * Returns the gateways.
   *
   * @return the gateways in order of their numbers
   */
  public List<GatewayNode> gateways() {
    return gateways;
  }

  /**
   * Returns one gateway.
   *
   * @param name "n" followed by the gateway number
   * @return the gateway of that name
   */
  public GatewayNode gateway(String name) {
    return gateways.get(Integer.parseInt(name.substring(1)));
  }

  /**
   * Returns one server.
   *
   * @param name "s" followed by the server number
   * @return the server of that name; null if there is none
   */
  public FakePostgresServer server(String name) {
    return servers.get(name);
  }

  /**
   * Returns the proxy between all hosts.
   *
   * @return the proxy
   */
  public FaultProxy proxy() {
    return proxy;
  }

  /**
   * Returns the data of all replica groups.
   *
   * @return the store that all servers share
   */
  public ReplicatedStoreModel store() {
    return store;
  }

  /**
   * Returns the clock of the servers.
   *
   * @return the clock by which the store records times
   */
  public ReplicatedStoreModel.Clock clock() {
    return clock;
  }

  /**
   * Returns the names of all hosts except one.
   *
   * @param host the host to leave out
   * @return the possible peers of this host
   */
  public List<String> hostsOtherThan(String host) {
    List<String> hosts = new ArrayList<>(servers.keySet());
    gateways.forEach(gateway -> hosts.add(gateway.name()));
    hosts.addAll(List.of(CLIENTS, DISCOVERY));
    hosts.remove(host);
    return hosts;
  }

  @Override
  public void close() throws IOException {
    processes.close();
    for (FakePostgresServer server : servers.values()) {
      server.close();
    }
    for (FakeDiscoveryServer discovery : discoveryServers) {
      discovery.close();
    }
    proxy.close();
    serverExecutor.shutdownNow();
    subnet.close();
  }
}
