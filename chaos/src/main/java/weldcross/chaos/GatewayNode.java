package weldcross.chaos;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
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

/** One gateway of a run, through all its processes: its home directory, its log and its records. */
public final class GatewayNode {

  static final int CLIENT_PORT = 6543;
  static final int MESH_PORT = 7000;
  private static final int CONTROL_PORT = 7100;
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  /** The line with which the log of each process begins. */
  private static final String FIRST_PHASE_CHANGE = "STARTING to LISTENING";

  private static final Pattern VIEW_LINE =
      Pattern.compile("consensus: view in force: view=(\\d+) members=\\[(.*)\\]");

  /** The system property that names another build of the gateway. */
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
   * Creates a node whose process is not started.
   *
   * @param number from 0; its name is "n" and this number
   * @param home its directory, which exists
   * @param host the address it listens on
   * @param clientRoute the route by which clients reach it
   * @param scenario what is run
   * @param processes where its processes are started
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
   * Returns its name.
   *
   * @return "n" and its number
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
   * Returns its current process.
   *
   * @return the process started last; null before the first start
   */
  public ManagedProcess process() {
    return process;
  }

  /**
   * Returns its log, which all its processes share.
   *
   * @return a file that may not exist yet
   */
  public Path log() {
    return home.resolve(GatewayLogs.FILE_NAME);
  }

  /**
   * Returns the directory in which its extensions keep their records.
   *
   * @return a directory that may not exist yet
   */
  public Path records() {
    return home.resolve(RECORDS_DIRECTORY);
  }

  /**
   * Sets the faults of its disk from now on.
   *
   * @param faults words of {@link FaultInjectingStorageDirectory}; empty for none
   * @throws IOException if they cannot be written
   */
  public void setDiskFaults(String faults) throws IOException {
    Path next = home.resolve(DISK_FAULTS_FILE + ".next");
    Files.writeString(next, faults);
    Files.move(next, home.resolve(DISK_FAULTS_FILE), StandardCopyOption.ATOMIC_MOVE);
  }

  /**
   * Sets how far the wall clock of its next process is off.
   *
   * @param millis above zero for a clock that is fast
   */
  public void setClockOffsetMillis(long millis) {
    clockOffsetMillis = millis;
  }

  /**
   * Returns where clients connect to it.
   *
   * @return an address of the proxy
   */
  public InetSocketAddress clientAddress() {
    return clientRoute.address();
  }

  /** Returns where it listens for clients itself, past the proxy. */
  InetSocketAddress directAddress() {
    return new InetSocketAddress(host, CLIENT_PORT);
  }

  /**
   * Returns its control endpoint.
   *
   * @return host and port, with a colon between
   */
  public String controlAddress() {
    return host.getHostAddress() + ":" + CONTROL_PORT;
  }

  /**
   * Returns how often its process was started.
   *
   * @return zero before the first start
   */
  public int startCount() {
    return startCount;
  }

  /**
   * Starts its process.
   *
   * @throws IOException if it cannot be started
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
    if (scenario.linked()) {
      command.add(
          "-D"
              + FaultInjectingStorageDirectory.FAULTS_FILE_PROPERTY
              + "="
              + home.resolve(DISK_FAULTS_FILE));
      command.add("-D" + ShiftedClock.OFFSET_MILLIS_PROPERTY + "=" + clockOffsetMillis);
      command.add("-cp");
      command.add(jar() + ":" + ownClasses());
      command.add("weldcross.Main");
      command.add("serve");
      command.add("--log");
      command.add(scenario.log());
      command.add("--with");
      command.add(extensionsFile().toString());
    } else {
      command.add("-jar");
      command.add(jar());
      command.add("serve");
      if (!scenario.log().equals("INFO")) {
        command.add("--log");
        command.add(scenario.log());
      }
    }
    return command;
  }

  private static String jar() {
    return Path.of(System.getProperty(JAR_PROPERTY, DEFAULT_JAR)).toAbsolutePath().toString();
  }

  /** The classes of this module, for what works within a gateway. */
  private static String ownClasses() {
    try {
      return Path.of(GatewayNode.class.getProtectionDomain().getCodeSource().getLocation().toURI())
          .toString();
    } catch (java.net.URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Waits until it is ready.
   *
   * @throws IOException if it is not ready in time
   * @throws IllegalStateException if its process ends before
   */
  public void awaitReady() throws IOException {
    ManagedProcess awaited = process;
    Await.until(
        name + " is ready, see " + log(),
        READY_TIMEOUT,
        () -> {
          if (!awaited.isAlive()) {
            throw new IllegalStateException(
                name + " ended with " + awaited.exitStatus() + ", see " + log());
          }
          return isReady();
        });
  }

  /**
   * Asks it at its own address, past the proxy.
   *
   * @return whether it answers an empty query
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
   * Returns the view that its current process logged last.
   *
   * @return its number and members; empty if the process has logged none
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

  /** Returns all views that it has logged. */
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
      // It has not logged anything yet.
    }
    return views;
  }

  /**
   * Copies its records, to be gone back to.
   *
   * @throws IOException if they cannot be copied
   */
  public void copyRecords() throws IOException {
    Directories.copy(records(), home.resolve(RECORDS_COPY));
  }

  /**
   * Sets what its next process finds of its records.
   *
   * @param age {@code old} or empty for as they are, {@code earlier} for as they were copied,
   *     anything else for none
   * @throws IOException if they cannot be replaced
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
