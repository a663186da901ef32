package weldcross.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import weldcross.config.GatewayConfig;
import weldcross.config.InvalidConfigException;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;

/**
 * One gateway as a process: its clock, its threads, and the signals that stop it (TERM, INT) or
 * have it read its configuration again (HUP).
 */
public final class GatewayProcess {

  /** Exit status after a fault, distinct from those of a wrong command line or configuration. */
  private static final int FAULT_STATUS = 70;

  /** The JVM compiles a method after some 200 calls. */
  private static final int WARM_UP_REQUESTS = 200;

  private static final long STALL_CHECK_INTERVAL_MILLIS = 1000;

  private static final Logger LOG = Logger.getLogger(GatewayProcess.class.getName());

  private final EventLoop loop;
  private final MinaTransport transport;
  private final Gateway gateway;

  GatewayProcess(GatewayConfig config) {
    this(config, List.of(), Instant::now);
  }

  /**
   * Creates a gateway, which starts when it is served.
   *
   * @param extensions in the order of their start
   * @param wallClock read once
   */
  GatewayProcess(
      GatewayConfig config, List<GatewayExtension> extensions, Supplier<Instant> wallClock) {
    // The monotonic clock is read first: what passes between the two readings makes all data look
    // older than it is. In the other order it would look fresher, and reads past their staleness
    // bound would be sent.
    long zero = System.nanoTime();
    Instant wall = wallClock.get();
    Supplier<Duration> clock = () -> Duration.ofNanos(System.nanoTime() - zero);
    loop = new EventLoop(clock);
    // Three quarters of the descriptors are for connections of clients and servers.
    transport = new MinaTransport(loop, clock, config.maxDescriptors() * 3 / 4);
    gateway =
        new Gateway(config, transport, Duration.ofSeconds(wall.getEpochSecond(), wall.getNano()));
    if (extensions.isEmpty()) {
      loop.post(Gateway::start);
    } else {
      extensions.forEach(gateway::addExtension);
      ExtensionContext context = ExtensionHost.context(gateway, loop::post);
      loop.post(g -> g.start(context));
    }
  }

  /**
   * Serves without extensions until the process is asked to stop.
   *
   * @param reader reads the configuration, now and at each SIGHUP
   * @param started is handed the process before it serves
   * @return the exit status: 0 after a stop, 70 after a fault
   * @throws InvalidConfigException if the configuration cannot be used at the start
   */
  public static int run(Supplier<GatewayConfig> reader, Consumer<GatewayProcess> started) {
    return run(reader, config -> List.of(), Instant::now, started);
  }

  /**
   * Serves with extensions until the process is asked to stop.
   *
   * @param reader reads the configuration, now and at each SIGHUP
   * @param extensions creates the extensions from the gateway's configuration; called once
   * @param wallClock read once
   * @param started is handed the process before it serves
   * @return the exit status: 0 after a stop, 70 after a fault
   * @throws InvalidConfigException if the configuration cannot be used at the start
   */
  public static int run(
      Supplier<GatewayConfig> reader,
      Function<GatewayConfig, List<GatewayExtension>> extensions,
      Supplier<Instant> wallClock,
      Consumer<GatewayProcess> started) {
    GatewayConfig config = reader.get();
    List<GatewayExtension> created = extensions.apply(config);
    JitWarmUp.play(config, WARM_UP_REQUESTS);
    GatewayProcess process = new GatewayProcess(config, created, wallClock);
    process.handleSignals(reader);
    started.accept(process);
    return process.serve();
  }

  private void handleSignals(Supplier<GatewayConfig> reader) {
    if (!ProcessSignals.handle("HUP", () -> reload(reader))) {
      LOG.warning(
          "SIGHUP is ignored from the start, as under nohup: the configuration cannot be reloaded");
    }
    // Not a shutdown hook: by then the log is closed, and the status is that of a killed process.
    ProcessSignals.handle("TERM", this::stop);
    ProcessSignals.handle("INT", this::stop);
  }

  /** Serves until the gateway has stopped or a fault has ended it; returns the exit status. */
  int serve() {
    Timer stallChecks = startStallChecks(Thread.currentThread());
    try {
      loop.run(gateway);
      transport.close();
      return 0;
    } catch (Throwable e) {
      // Its sockets end with the process: MINA's end waits for a thread that may be at fault.
      LOG.log(Level.SEVERE, "gateway ended by a fault", e);
      return FAULT_STATUS;
    } finally {
      stallChecks.cancel();
    }
  }

  private Timer startStallChecks(Thread loopThread) {
    Timer timer = new Timer("stall-checks", true);
    timer.schedule(
        new TimerTask() {
          @Override
          public void run() {
            loop.logStall(loopThread);
          }
        },
        STALL_CHECK_INTERVAL_MILLIS,
        STALL_CHECK_INTERVAL_MILLIS);
    return timer;
  }

  /**
   * Reads the configuration again. Synchronized so that configurations are posted in the order
   * read.
   */
  synchronized void reload(Supplier<GatewayConfig> reader) {
    try {
      GatewayConfig next = reader.get();
      loop.post(g -> g.configReload().reload(next));
    } catch (InvalidConfigException e) {
      loop.post(g -> g.configReload().failed(e.getMessage()));
    }
  }

  /** Requests a stop; may be called from any thread. */
  void stop() {
    loop.post(Gateway::stop);
  }

  /** Returns the address that clients connect to, completed once the gateway listens. */
  CompletableFuture<InetSocketAddress> listening() {
    return transport.listenAddress();
  }
}
