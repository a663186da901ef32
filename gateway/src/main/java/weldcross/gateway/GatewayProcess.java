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
 * Runs a gateway as a process: provides its clock and threads, and handles the signals that request
 * a graceful shutdown (TERM, INT) or a configuration reload (HUP).
 */
public final class GatewayProcess {

  /**
   * Exit status after an unexpected error; differs from those of usage and configuration errors.
   */
  private static final int INTERNAL_ERROR_STATUS = 70;

  /** The JVM compiles a method after about 200 calls. */
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
   * Creates a gateway, which starts when {@link #serve} is called.
   *
   * @param extensions the extensions, in the order in which they start
   * @param wallClock returns the current time; called once
   */
  GatewayProcess(
      GatewayConfig config, List<GatewayExtension> extensions, Supplier<Instant> wallClock) {
    // The monotonic clock is read before the wall clock. A delay between the two readings then
    // makes
    // data appear older than it is; in the opposite order data would appear fresher, and reads that
    // violate their staleness bound would be sent.
    long startNanos = System.nanoTime();
    Instant startTime = wallClock.get();
    Supplier<Duration> clock = () -> Duration.ofNanos(System.nanoTime() - startNanos);
    loop = new EventLoop(clock);
    // Three quarters of the descriptors are for client and server connections.
    transport = new MinaTransport(loop, clock, config.maxDescriptors() * 3 / 4);
    gateway =
        new Gateway(
            config, transport, Duration.ofSeconds(startTime.getEpochSecond(), startTime.getNano()));
    if (extensions.isEmpty()) {
      loop.post(Gateway::start);
    } else {
      extensions.forEach(gateway::addExtension);
      ExtensionContext context = ExtensionHost.createContext(gateway, loop::post);
      loop.post(g -> g.start(context));
    }
  }

  /**
   * Serves without extensions until shutdown is requested.
   *
   * @param configReader reads the configuration, at the start and at each SIGHUP
   * @param beforeServing is passed the process before it serves
   * @return the exit status: 0 after a graceful shutdown, 70 after an unexpected error
   * @throws InvalidConfigException if the initial configuration is invalid
   */
  public static int run(
      Supplier<GatewayConfig> configReader, Consumer<GatewayProcess> beforeServing) {
    return run(configReader, config -> List.of(), Instant::now, beforeServing);
  }

  /**
   * Serves with extensions until shutdown is requested.
   *
   * @param configReader reads the configuration, at the start and at each SIGHUP
   * @param extensionFactory creates the extensions from the gateway's configuration; called once
   * @param wallClock returns the current time; called once
   * @param beforeServing is passed the process before it serves
   * @return the exit status: 0 after a graceful shutdown, 70 after an unexpected error
   * @throws InvalidConfigException if the initial configuration is invalid
   */
  public static int run(
      Supplier<GatewayConfig> configReader,
      Function<GatewayConfig, List<GatewayExtension>> extensionFactory,
      Supplier<Instant> wallClock,
      Consumer<GatewayProcess> beforeServing) {
    GatewayConfig config = configReader.get();
    List<GatewayExtension> extensions = extensionFactory.apply(config);
    JitWarmUp.run(config, WARM_UP_REQUESTS);
    GatewayProcess process = new GatewayProcess(config, extensions, wallClock);
    process.handleSignals(configReader);
    beforeServing.accept(process);
    return process.serve();
  }

  private void handleSignals(Supplier<GatewayConfig> configReader) {
    if (!ProcessSignals.handle("HUP", () -> reload(configReader))) {
      LOG.warning(
          "process was started with SIGHUP ignored, as by nohup:"
              + " the configuration cannot be reloaded");
    }
    // A shutdown hook would run after the log is closed, and the exit status would be that of a
    // killed process.
    ProcessSignals.handle("TERM", this::stop);
    ProcessSignals.handle("INT", this::stop);
  }

  /** Serves until shutdown is complete or an unexpected error occurs; returns the exit status. */
  int serve() {
    Timer stallChecks = startStallChecks(Thread.currentThread());
    try {
      loop.run(gateway);
      transport.close();
      return 0;
    } catch (Throwable e) {
      // The transport is not closed: MINA would wait for a thread that may have caused the error.
      // The operating system closes the sockets when the process exits.
      LOG.log(Level.SEVERE, "gateway terminated by an unexpected error", e);
      return INTERNAL_ERROR_STATUS;
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
   * Reloads the configuration. Synchronized so that configurations are applied in the order in
   * which they are read.
   */
  synchronized void reload(Supplier<GatewayConfig> configReader) {
    try {
      GatewayConfig next = configReader.get();
      loop.post(g -> g.configReload().reload(next));
    } catch (InvalidConfigException e) {
      loop.post(g -> g.configReload().failed(e.getMessage()));
    }
  }

  /** Requests a graceful shutdown; may be called from any thread. */
  void stop() {
    loop.post(Gateway::stop);
  }

  /** Returns the address for clients; completed when the gateway listens on it. */
  CompletableFuture<InetSocketAddress> listening() {
    return transport.listenAddress();
  }
}
