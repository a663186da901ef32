package weldcross.chaos;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import weldcross.chaos.history.History;
import weldcross.chaos.load.Method;
import weldcross.chaos.process.LoopbackSubnet;
import weldcross.chaos.process.ManagedProcess;
import weldcross.chaos.process.ManagedProcesses;
import weldcross.chaos.proxy.FaultProxy;
import weldcross.chaos.scenario.Scenario;
import weldcross.fakes.FakeDiscoveryCatalog;
import weldcross.fakes.FakeDiscoveryServer;
import weldcross.fakes.FakePostgresServer;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * Where one trial takes place: gateways as processes with directories and addresses of their own,
 * stand-ins for servers and discovery, and between all of them the relay. Hosts are named n0, n1
 * (gateways), s0, s1 (servers), {@code clients} and {@code discovery}.
 */
public final class ChaosCluster implements AutoCloseable {

  private static final int CLIENT_PORT = 6543, LINK_PORT = 7000, CONTROL_PORT = 7100;
  private static final String BEGINS = "STARTING to LISTENING";
  private static final Pattern VIEW =
      Pattern.compile("consensus: view in force: view=(\\d+) members=\\[(.*)\\]");
  private static final Duration READY_WITHIN = Duration.ofSeconds(30);

  /** The jar that is tried; the release build's, unless told. */
  public static final String JAR = "weldcross.jar";

  /** One gateway, through its lives. */
  public final class Gateway {
    final int number;
    final String name;
    final Path home;
    private final InetAddress host;
    private final FaultProxy.Route clients;
    private FakeDiscoveryServer agent;
    private ManagedProcess child;
    private int lives;
    private long wallOff;

    Gateway(int number) throws IOException {
      this.number = number;
      this.name = "n" + number;
      this.home = Files.createDirectories(directory.resolve(name));
      this.host = place.host(10 + number);
      this.clients = relay.stream("clients", name, new InetSocketAddress(host, CLIENT_PORT));
    }

    public String name() {
      return name;
    }

    public ManagedProcess child() {
      return child;
    }

    public Path log() {
      return home.resolve("log");
    }

    /** The directory in which its parts keep their records. */
    public Path kept() {
      return home.resolve("kept");
    }

    /** What its disk does wrong from now on; empty for nothing. */
    public void disk(String words) throws IOException {
      Path next = home.resolve("disk.words.next");
      Files.writeString(next, words);
      Files.move(next, home.resolve("disk.words"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Of the next start. */
    public void wallOff(long millis) {
      wallOff = millis;
    }

    public InetSocketAddress address() {
      return clients.address();
    }

    public void start() throws IOException {
      lives++;
      List<String> command =
          new ArrayList<>(
              List.of(
                  ProcessHandle.current().info().command().orElse("java"),
                  "-XX:+UseSerialGC",
                  "-XX:-UsePerfData",
                  "-XX:TieredStopAtLevel=1",
                  "-Xms32m",
                  "-Xmx96m",
                  "-Xss256k",
                  "-Djdk.nio.maxCachedBufferSize=262144",
                  "-Dslf4j.provider=org.slf4j.jul.JULServiceProvider"));
      if (scenario.linked()) {
        command.add("-Dweldcross.chaos.disk=" + home.resolve("disk.words"));
        command.add("-Dweldcross.chaos.wall=" + wallOff);
        command.addAll(
            List.of(
                "-cp",
                jar() + ":" + own(),
                "weldcross.Main",
                "serve",
                "--log",
                scenario.log(),
                "--with",
                home.resolve("parts.toml").toString()));
      } else {
        command.addAll(List.of("-jar", jar(), "serve"));
        if (!scenario.log().equals("INFO")) {
          command.addAll(List.of("--log", scenario.log()));
        }
      }
      child =
          children.start(
              command, Map.of("NODE_CONFIG", home.resolve("config.json").toString()), log());
    }

    /** Waits until it answers that it is ready; throws where its process ends before. */
    public void awaitReady() throws IOException {
      ManagedProcess of = child;
      ManagedProcess.until(
          name + " is ready, see " + log(),
          READY_WITHIN,
          () -> {
            if (!of.isAlive()) {
              throw new IllegalStateException(
                  name + " ended with " + of.status() + ", see " + log());
            }
            return isReady();
          });
    }

    /** Asked at its own address, past the relay. */
    public boolean isReady() {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(host, CLIENT_PORT), 200);
        socket.setSoTimeout(200);
        byte[] start = "user\0trial\0\0".getBytes(StandardCharsets.US_ASCII);
        socket
            .getOutputStream()
            .write(
                java.nio.ByteBuffer.allocate(14 + start.length)
                    .putInt(8 + start.length)
                    .putInt(3 << 16)
                    .put(start)
                    .put((byte) 'Q')
                    .putInt(5)
                    .put((byte) 0)
                    .array());
        for (int type = socket.getInputStream().read();
            type >= 0;
            type = socket.getInputStream().read()) {
          byte[] length = socket.getInputStream().readNBytes(4);
          socket.getInputStream().readNBytes(java.nio.ByteBuffer.wrap(length).getInt() - 4);
          if (type == 'I') {
            return true;
          } else if (type == 'E') {
            return false;
          }
        }
        return false;
      } catch (IOException e) {
        return false;
      }
    }

    public int lives() {
      return lives;
    }

    /** Where it is asked about the others. */
    public String control() {
      return host.getHostAddress() + ":" + CONTROL_PORT;
    }

    /** Whether its last word on what is agreed is a view of all gateways in this life of theirs. */
    String lastView() {
      List<History.Held> all = views();
      int process = processes();
      return all.isEmpty() || all.get(all.size() - 1).process() < process
          ? ""
          : all.get(all.size() - 1).number() + " " + all.get(all.size() - 1).members();
    }

    private int processes() {
      try (Stream<String> lines = Files.lines(log())) {
        return (int) lines.filter(l -> l.contains(BEGINS)).count();
      } catch (IOException e) {
        return 0;
      }
    }

    /** What it said it had agreed on, by its log. */
    List<History.Held> views() {
      List<History.Held> all = new ArrayList<>();
      int process = 0;
      try {
        for (String line : Files.readAllLines(log())) {
          process += line.contains(BEGINS) ? 1 : 0;
          Matcher view = VIEW.matcher(line);
          if (view.find()) {
            all.add(new History.Held(name, process, Long.parseLong(view.group(1)), view.group(2)));
          }
        }
      } catch (IOException e) {
        // It has not begun to speak.
      }
      return all;
    }

    void begin() throws IOException {
      Map<String, FaultProxy.Route> routes = new HashMap<>();
      for (FakePostgresServer server : servers.values()) {
        routes.put(server.name(), relay.stream(name, server.name(), server.address()));
      }
      agent = new FakeDiscoveryServer(catalog, place.host(3), id -> routes.get(id).hostPort());
      FaultProxy.Route discovery = relay.stream(name, "discovery", agent.address());
      Files.writeString(home.resolve("config.json"), config(discovery.hostPort()));
    }

    private String config(String discovery) {
      StringBuilder categories = new StringBuilder();
      StringBuilder needs = new StringBuilder();
      StringBuilder bounds = new StringBuilder();
      for (Method m : Method.values()) {
        String comma = categories.length() == 0 ? "" : ", ";
        categories
            .append(comma)
            .append("{\"name\": \"")
            .append(m.word)
            .append("\", \"effect\": \"")
            .append(m.effect)
            .append("\", \"target\": ")
            .append(m.soft.toMillis() * 1000)
            .append(", \"deadline\": ")
            .append(m.deadline.toMillis() * 1000)
            .append(", \"worth\": 1.0, \"lateWorth\": 0.2}");
        needs.append(comma).append('"').append(m.need).append('"');
        bounds.append(comma).append(m.bound.toMillis() * 1000);
      }
      return """
                    {"name": "%s", "listen": "%s:%d", "discovery": "%s", "seed": "%x",
                     "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                     "known": {"revision": 0, "complete": true, "members": []},
                     "settings": {"nInstances": %d, "myZone": 0, "zones": ["a"], "discovery": "pushed",
                      "tenants": [{"name": "acme"}], "categories": [%s],
                      "familyInfo": {"freshness": [%s], "lagAllowed": [%s], "tokenMode": "remembered"},
                      "bounds": {"tryLimit": 10, "cancel": true, "mayProbe": true, "mayTell": false,
                       "parallelTries": true, "retryAfter": true, "maxRetryAfter": 500000, "idleClose": 30000000,
                       "connectTimeout": 250000},
                      "invariants": {"mustAskIn": 10000000, "stopSendingWithin": 2000000, "coldFrom": 0.3,
                       "cold": 5000000, "fallMultiple": 2.0, "fall": 1000000},
                      "report": {"source": "probe"}}}
                    """
          .formatted(
              name,
              host.getHostAddress(),
              CLIENT_PORT,
              discovery,
              7919L * (number + 1),
              scenario.gateways(),
              categories,
              needs,
              bounds);
    }

    /**
     * Its link, and where it finds each other gateway: through the relay, in a direction of its
     * own.
     */
    void tellOfOthers() throws IOException {
      StringBuilder text =
          new StringBuilder(
              "directory = \""
                  + kept()
                  + "\"\n\n[link]\ncluster = \"trial\"\n"
                  + "listen = \""
                  + host.getHostAddress()
                  + ":"
                  + LINK_PORT
                  + "\"\ndatagrams = \""
                  + host.getHostAddress()
                  + ":"
                  + LINK_PORT
                  + "\"\n");
      for (Gateway other : gateways) {
        if (other != this) {
          InetSocketAddress there = new InetSocketAddress(other.host, LINK_PORT);
          InetSocketAddress told = relay.datagrams(name, other.name, there);
          text.append("\n[[link.peers]]\nname = \"")
              .append(other.name)
              .append("\"\ncall = \"")
              .append(relay.stream(name, other.name, there).hostPort())
              .append("\"\ntell = \"")
              .append(told.getAddress().getHostAddress())
              .append(':')
              .append(told.getPort())
              .append("\"\n");
        }
      }
      text.append("\n[membership]\npart = ")
          .append(1000 / scenario.gateways())
          .append("\nperiod_ms = 300\n");
      if (scenario.voters() > 0) {
        text.append("\n[agreement]\nvoters = [")
            .append(
                gateways.stream()
                    .limit(scenario.voters())
                    .map(g -> "\"" + g.name + "\"")
                    .collect(Collectors.joining(", ")))
            .append("]\nperiod_ms = 300\nshare_after_ms = 2000\ntrust_disk = ")
            .append(trustDisks)
            .append("\n\n[control]\nlisten = \"")
            .append(control())
            .append("\"\n");
      }
      Files.writeString(home.resolve("parts.toml"), text.toString());
    }

    /** What its records are at this moment, to be gone back to. */
    public void keepCopy() throws IOException {
      copy(kept(), home.resolve("kept.earlier"));
    }

    /** With its records as they are, as they were when a copy was kept, or without any. */
    public void recordsAre(String age) throws IOException {
      if (!age.equals("old") && !age.isEmpty()) {
        remove(kept());
        if (age.equals("earlier")) {
          copy(home.resolve("kept.earlier"), kept());
        }
      }
    }
  }

  private final Scenario scenario;
  private final boolean trustDisks;
  private final Path directory;
  private final LoopbackSubnet place;
  private final FaultProxy relay;
  private final ManagedProcesses children;
  private final ReplicatedStoreModel store = new ReplicatedStoreModel();
  private final ReplicatedStoreModel.Clock clock = new ReplicatedStoreModel.Clock();
  private final FakeDiscoveryCatalog catalog = new FakeDiscoveryCatalog();
  private final Map<String, FakePostgresServer> servers = new TreeMap<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "servers");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * @param directory of this trial alone, made if absent
   */
  public ChaosCluster(Scenario scenario, long seed, Path directory) throws IOException {
    this(scenario, seed, directory, false);
  }

  /**
   * @param trustDisks whether voters are told that disks never lose what they said was kept
   */
  ChaosCluster(Scenario scenario, long seed, Path directory, boolean trustDisks)
      throws IOException {
    this.scenario = scenario;
    this.trustDisks = trustDisks;
    this.directory = Files.createDirectories(directory).toAbsolutePath();
    this.place = LoopbackSubnet.claim();
    this.children = new ManagedProcesses();
    this.relay = new FaultProxy(place.host(2), seed);
    for (int k = 0; k < scenario.groups() * scenario.serversPerGroup(); k++) {
      FakePostgresServer server =
          new FakePostgresServer(
              "s" + k,
              k / scenario.serversPerGroup(),
              k % scenario.serversPerGroup() == 0,
              scenario.lag(),
              scenario.service(),
              8,
              place.host(4),
              store,
              clock,
              timer);
      servers.put(server.name(), server);
      list(server);
    }
    for (int k = 0; k < scenario.gateways(); k++) {
      gateways.add(new Gateway(k));
    }
    for (Gateway each : gateways) {
      each.begin();
      if (scenario.linked()) {
        each.tellOfOthers();
      }
    }
  }

  /** The list has it as it is now. */
  void list(FakePostgresServer server) {
    catalog.set(
        new FakeDiscoveryCatalog.Member(
            server.name(), server.group(), "a", "active", server.upSinceMillis()));
  }

  /** All gateways are started, and ready. */
  public void start() throws IOException {
    for (Gateway each : gateways) {
      each.start();
    }
    for (Gateway each : gateways) {
      each.awaitReady();
    }
  }

  /** Whether all hold one view, of all of them. */
  public boolean agree() {
    List<String> all = gateways.stream().map(Gateway::lastView).distinct().toList();
    return all.size() == 1
        && gateways.stream().allMatch(g -> (" " + all.get(0)).contains(" " + g.name + ":"));
  }

  private static String jar() {
    return Path.of(System.getProperty(JAR, "gateway/target/weldcross.jar"))
        .toAbsolutePath()
        .toString();
  }

  /** Where the classes of this module are, for what works within a gateway. */
  private static String own() {
    try {
      return Path.of(ChaosCluster.class.getProtectionDomain().getCodeSource().getLocation().toURI())
          .toString();
    } catch (java.net.URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }

  public List<Gateway> gateways() {
    return gateways;
  }

  public Gateway gateway(String name) {
    return gateways.get(Integer.parseInt(name.substring(1)));
  }

  public FakePostgresServer server(String name) {
    return servers.get(name);
  }

  public FaultProxy relay() {
    return relay;
  }

  public ReplicatedStoreModel store() {
    return store;
  }

  public ReplicatedStoreModel.Clock clock() {
    return clock;
  }

  public FakeDiscoveryCatalog catalog() {
    return catalog;
  }

  /** All hosts but this one, that packets of it may reach. */
  public List<String> othersOf(String host) {
    List<String> all = new ArrayList<>(servers.keySet());
    gateways.forEach(g -> all.add(g.name()));
    all.addAll(List.of("clients", "discovery"));
    all.remove(host);
    return all;
  }

  private static void copy(Path from, Path to) throws IOException {
    remove(to);
    if (Files.exists(from)) {
      try (Stream<Path> all = Files.walk(from)) {
        for (Path each : all.sorted().toList()) {
          Files.copy(each, to.resolve(from.relativize(each).toString()));
        }
      }
    }
  }

  private static void remove(Path what) throws IOException {
    if (Files.exists(what)) {
      try (Stream<Path> all = Files.walk(what)) {
        for (Path each : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
          Files.delete(each);
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    children.close();
    for (FakePostgresServer each : servers.values()) {
      each.close();
    }
    for (Gateway each : gateways) {
      if (each.agent != null) {
        each.agent.close();
      }
    }
    relay.close();
    timer.shutdownNow();
    place.close();
  }
}
