package weldcross.chaos;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import weldcross.chaos.agent.FaultInjectingStorageDirectory;
import weldcross.chaos.agent.ShiftedClock;
import weldcross.chaos.history.GatewayLogs;
import weldcross.chaos.history.History;
import weldcross.chaos.process.Await;
import weldcross.chaos.process.ManagedProcess;
import weldcross.chaos.process.ManagedProcesses;
import weldcross.chaos.proxy.Route;
import weldcross.chaos.scenario.Scenario;

/**
 * One gateway of a run. The home directory, the log and the stored records outlive its processes,
 * which are started one after another.
 */
public final class GatewayNode {

  static final int CLIENT_PORT = 6543;
  static final int MESH_PORT = 7000;
  private static final int CONTROL_PORT = 7100;
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  /** The first phase change, which each process logs exactly once. */
  private static final String FIRST_PHASE_CHANGE = "STARTING to LISTENING";

  private static final Pattern VIEW_LINE =
      Pattern.compile("consensus: view in force: view=(\\d+) members=\\[(.*)\\]");

  /** System property with the path of the gateway JAR, if it is not the default one. */
  static final String JAR_PROPERTY = "weldcross.jar";

  private static final String DEFAULT_JAR = "gateway/target/weldcross.jar";
  private static final String DISK_FAULTS_FILE = "disk.words";
  private static final String RECORDS_DIRECTORY = "kept";
  private static final String RECORDS_COPY = "kept.earlier";

  private final String name;
  private final int number;
  private final Path home;
  private final InetAddress host;
  private final Route clientRoute;
  private final Scenario scenario;
  private final ManagedProcesses processes;
  private ManagedProcess process;
  private int startCount;
  private long clockOffsetMillis;

  /**
   * Creates a node without starting its process.
   *
   * @param number number of the gateway, from 0; its name is "n" followed by the number
   * @param home existing home directory
   * @param host address on which the gateway listens
   * @param clientRoute proxy route from clients to the gateway
   * @param scenario the scenario to run
   * @param processes starts the gateway processes
   */
  GatewayNode(
      int number,
      Path home,
      InetAddress host,
      Route clientRoute,
      Scenario scenario,
      ManagedProcesses processes) {
    this.number = number;
    this.name = nameOf(number);
    this.home = home;
    this.host = host;
    this.clientRoute = clientRoute;
    this.scenario = scenario;
    this.processes = processes;
  }

  static String nameOf(int number) {
    return "n" + number;
  }

  /**
   * Returns the name of the gateway.
   *
   * @return "n" followed by the gateway number
   */
  public String name() {
    return name;
  }

  int number() {
    return number;
  }

  InetAddress host() {
    return host;
  }

  Path configFile() {
    return home.resolve("config.json");
  }

  Path extensionsFile() {
    return home.resolve("parts.toml");
  }

  /**
   * Returns the current process.
   *
   * @return the most recently started process; null before the first start
   */
  public ManagedProcess process() {
    return process;
  }

  /**
   * Returns the log file, to which all processes of this gateway append.
   *
   * @return a file that may not exist yet
   */
  public Path log() {
    return home.resolve(GatewayLogs.FILE_NAME);
  }

  /**
   * Returns the directory in which the gateway's extensions store their records.
   *
   * @return a directory that may not exist yet
   */
  public Path records() {
    return home.resolve(RECORDS_DIRECTORY);
  }

  /**
   * Sets the disk faults of the gateway, with immediate effect.
   *
   * @param faults fault names as defined by {@link FaultInjectingStorageDirectory}; empty for none
   * @throws IOException if the fault file cannot be written
   */
  public void setDiskFaults(String faults) throws IOException {
    Path next = home.resolve(DISK_FAULTS_FILE + ".next");
    Files.writeString(next, faults);
    Files.move(next, home.resolve(DISK_FAULTS_FILE), StandardCopyOption.ATOMIC_MOVE);
  }

  /**
   * Sets the wall clock offset of processes started from now on.
   *
   * @param millis offset; positive if the clock is ahead
   */
  public void setClockOffsetMillis(long millis) {
    clockOffsetMillis = millis;
  }

  /**
   * Returns the address to which clients connect.
   *
   * @return an address of the proxy
   */
  public InetSocketAddress clientAddress() {
    return clientRoute.address();
  }

  /** Returns the client address of the gateway itself, which bypasses the proxy. */
  InetSocketAddress directAddress() {
    return new InetSocketAddress(host, CLIENT_PORT);
  }

  /**
   * Returns the address of the control endpoint.
   *
   * @return host and port, separated by a colon
   */
  public String controlAddress() {
    return host.getHostAddress() + ":" + CONTROL_PORT;
  }

  /**
   * Returns how many processes of this gateway were started.
   *
   * @return zero before the first start
   */
  public int startCount() {
    return startCount;
  }

  /**
   * Starts a process.
   *
   * @throws IOException if the process cannot be started
   */
  public void start() throws IOException {
    startCount++;
    Map<String, String> environment = Map.of("NODE_CONFIG", configFile().toString());
    process = processes.start(command(), environment, log());
  }

  private List<String> command() {
    List<String> command = new ArrayList<>();
    command.add(ProcessHandle.current().info().command().orElse("java"));
    command.add("-XX:+UseSerialGC");
    command.add("-XX:-UsePerfData");
    command.add("-XX:TieredStopAtLevel=1");
    command.add("-Xms32m");
    command.add("-Xmx96m");
    command.add("-Xss256k");
    command.add("-Djdk.nio.maxCachedBufferSize=262144");
    command.add("-Dslf4j.provider=org.slf4j.jul.JULServiceProvider");
    if (scenario.meshEnabled()) {
      command.add(
          "-D"
              + FaultInjectingStorageDirectory.FAULTS_FILE_PROPERTY
              + "="
              + home.resolve(DISK_FAULTS_FILE));
      command.add("-D" + ShiftedClock.OFFSET_MILLIS_PROPERTY + "=" + clockOffsetMillis);
      command.add("-cp");
      command.add(jar() + ":" + agentClassPath());
      command.add("weldcross.Main");
      command.add("serve");
      command.add("--log");
      command.add(scenario.logLevel());
      command.add("--with");
      command.add(extensionsFile().toString());
    } else {
      command.add("-jar");
      command.add(jar());
      command.add("serve");
      if (!scenario.logLevel().equals("INFO")) {
        command.add("--log");
        command.add(scenario.logLevel());
      }
    }
    return command;
  }

  private static String jar() {
    return Path.of(System.getProperty(JAR_PROPERTY, DEFAULT_JAR)).toAbsolutePath().toString();
  }

  /** Returns the class path of this module, whose agent classes run inside the gateway process. */
  private static String agentClassPath() {
    try {
      return Path.of(GatewayNode.class.getProtectionDomain().getCodeSource().getLocation().toURI())
          .toString();
    } catch (URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Waits until the gateway is ready.
   *
   * @throws IOException if it is not ready in time
   * @throws IllegalStateException if its process ends first
   */
  public void awaitReady() throws IOException {
    ManagedProcess awaited = process;
    Await.until(
        name + " is ready, see " + log(),
        READY_TIMEOUT,
        () -> {
          if (!awaited.isAlive()) {
            throw new IllegalStateException(
                name
                    + " exited before it was ready, status "
                    + awaited.exitStatus()
                    + ", see "
                    + log());
          }
          return isReady();
        });
  }

  /**
   * Checks readiness with an empty query, sent to the gateway directly and not through the proxy.
   *
   * @return whether the gateway answers the query
   */
  public boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(directAddress(), CONNECT_TIMEOUT_MILLIS);
      socket.setSoTimeout(CONNECT_TIMEOUT_MILLIS);
      socket.getOutputStream().write(startupAndEmptyQuery());
      DataInputStream in = new DataInputStream(socket.getInputStream());
      while (true) {
        int type = in.readUnsignedByte();
        in.readNBytes(in.readInt() - 4);
        if (type == 'I') {
          return true;
        } else if (type == 'E') {
          return false;
        }
      }
    } catch (IOException e) {
      return false;
    }
  }

  private static byte[] startupAndEmptyQuery() {
    byte[] parameters = "user\0trial\0\0".getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(14 + parameters.length)
        .putInt(8 + parameters.length)
        .putInt(3 << 16)
        .put(parameters)
        .put((byte) 'Q')
        .putInt(5)
        .put((byte) 0)
        .array();
  }

  /**
   * Returns the latest membership view in the log of the current process.
   *
   * @return number and members of the view; empty if the process has logged none
   */
  String lastView() {
    List<History.ReportedView> views = views();
    if (views.isEmpty()) {
      return "";
    }
    History.ReportedView last = views.get(views.size() - 1);
    return last.process() < processCount() ? "" : last.number() + " " + last.members();
  }

  private int processCount() {
    try (Stream<String> lines = Files.lines(log())) {
      return (int) lines.filter(line -> line.contains(FIRST_PHASE_CHANGE)).count();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns all membership views in the log, in order. */
  List<History.ReportedView> views() {
    List<History.ReportedView> views = new ArrayList<>();
    int processNumber = 0;
    try {
      for (String line : Files.readAllLines(log())) {
        processNumber += line.contains(FIRST_PHASE_CHANGE) ? 1 : 0;
        Matcher view = VIEW_LINE.matcher(line);
        if (view.find()) {
          long viewNumber = Long.parseLong(view.group(1));
          views.add(new History.ReportedView(name, processNumber, viewNumber, view.group(2)));
        }
      }
    } catch (IOException e) {
      // The log does not exist yet.
    }
    return views;
  }

  /**
   * Copies the stored records, so that they can be restored later.
   *
   * @throws IOException if the records cannot be copied
   */
  public void copyRecords() throws IOException {
    Directories.copy(records(), home.resolve(RECORDS_COPY));
  }

  /**
   * Prepares the stored records that the next process will find.
   *
   * @param age {@code old} or an empty string to leave them unchanged, {@code earlier} to restore
   *     the last copy, anything else to delete them
   * @throws IOException if the records cannot be replaced
   */
  public void restoreRecords(String age) throws IOException {
    if (age.equals("old") || age.isEmpty()) {
      return;
    }
    Directories.delete(records());
    if (age.equals("earlier")) {
      Directories.copy(home.resolve(RECORDS_COPY), records());
    }
  }
}
