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
import sun.misc.Signal;
import sun.misc.SignalHandler;
import weldcross.config.GatewayConfig;
import weldcross.config.InvalidConfigException;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;

/**
 * One gateway as a process: its clock, its thread, and the signals that end it or have it read its
 * terms.
 */
public final class GatewayProcess {

  /**
   * The status of a process that broke, apart from those of a faulty command line or configuration.
   */
  private static final int BROKEN = 70;

  /** RPCs after which what an RPC calls is compiled; the JVM does that after some 200 calls. */
  private static final int WARM_UP = 200;

  /** In milliseconds. */
  private static final long LOOK_APART = 1000;

  private static final Logger LOG = Logger.getLogger(GatewayProcess.class.getName());

  private final EventLoop loop;
  private final MinaTransport transport;
  private final Gateway gateway;

  GatewayProcess(GatewayConfig terms) {
    this(terms, List.of(), Instant::now);
  }

  /**
   * @param readWall the wall clock, read once
   */
  GatewayProcess(GatewayConfig terms, List<GatewayExtension> parts, Supplier<Instant> readWall) {
    // First the zero, then the wall: what passes between the two makes all data look older than it
    // is.
    // The other way round it would look fresher, and reads past their bound would go out (rule 5).
    long zero = System.nanoTime();
    Instant wall = readWall.get();
    Supplier<Duration> clock = () -> Duration.ofNanos(System.nanoTime() - zero);
    loop = new EventLoop(clock);
    transport = new MinaTransport(loop, clock, terms.sockets() * 3 / 4);
    gateway =
        new Gateway(terms, transport, Duration.ofSeconds(wall.getEpochSecond(), wall.getNano()));
    if (parts.isEmpty()) {
      loop.post(Gateway::start);
    } else {
      parts.forEach(gateway::addExtension);
      ExtensionContext seam = ExtensionHost.context(gateway, loop::post);
      loop.post(g -> g.start(seam));
    }
  }

  /**
   * Serves until the process is asked to end; returns the status to exit with.
   *
   * @param reader reads the terms, now and whenever the process is told to read them again
   * @param begun is handed the service before it serves
   */
  public static int run(Supplier<GatewayConfig> reader, Consumer<GatewayProcess> begun) {
    return run(reader, terms -> List.of(), Instant::now, begun);
  }

  /**
   * The same with parts that join.
   *
   * @param parts makes them of the gateway's terms, once
   * @param readWall the wall clock, read once
   */
  public static int run(
      Supplier<GatewayConfig> reader,
      Function<GatewayConfig, List<GatewayExtension>> parts,
      Supplier<Instant> readWall,
      Consumer<GatewayProcess> begun) {
    GatewayConfig terms = reader.get();
    List<GatewayExtension> joining = parts.apply(terms);
    JitWarmUp.play(terms, WARM_UP);
    GatewayProcess service = new GatewayProcess(terms, joining, readWall);
    // Each signal has a thread of its own.
    if (Signal.handle(new Signal("HUP"), signal -> service.reload(reader))
        == SignalHandler.SIG_IGN) {
      LOG.warning(
          "SIGHUP is ignored from the start, as under nohup: a new configuration is not heard of");
    }
    // Not a shutdown hook: by then the log is closed already, and the status is that of a killed
    // process.
    Signal.handle(new Signal("TERM"), signal -> service.stop());
    Signal.handle(new Signal("INT"), signal -> service.stop());
    begun.accept(service);
    return service.serve();
  }

  /** Returns with the status to exit with: when it has stopped, or when it broke. */
  int serve() {
    Thread turning = Thread.currentThread();
    Timer looks = new Timer("turns", true);
    looks.schedule(
        new TimerTask() {
          @Override
          public void run() {
            loop.lookAtTurn(turning);
          }
        },
        LOOK_APART,
        LOOK_APART);
    try {
      loop.run(gateway);
      transport.end();
      return 0;
    } catch (Throwable e) {
      // Its sockets end with the process: MINA's end waits for a thread that may be what broke.
      LOG.log(Level.SEVERE, "the gateway broke", e);
      return BROKEN;
    } finally {
      looks.cancel();
    }
  }

  /** One after the other: what is posted last was read last. */
  synchronized void reload(Supplier<GatewayConfig> reader) {
    try {
      GatewayConfig next = reader.get();
      loop.post(g -> g.configReload().reload(next));
    } catch (InvalidConfigException e) {
      loop.post(g -> g.configReload().failed(e.getMessage()));
    }
  }

  void stop() {
    loop.post(Gateway::stop);
  }

  /** The address that clients connect to, once there is one. */
  CompletableFuture<InetSocketAddress> listening() {
    return transport.listening();
  }
}
