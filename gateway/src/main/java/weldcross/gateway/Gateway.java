package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import weldcross.config.GatewayConfig;
import weldcross.connections.ResponseMemoryPolicy;
import weldcross.discovery.DiscoveredEndpoint;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.gossip.GossipMessage;
import weldcross.routing.RequestId;
import weldcross.routing.Router;
import weldcross.routing.RouterActions;
import weldcross.routing.ServerId;
import weldcross.routing.Timer;
import weldcross.routing.TimerQueue;

/**
 * Owns the state of a gateway. All changes are events that {@link #handle} applies on the event
 * loop's thread. Events call the router, which acts through this class as its {@link
 * RouterActions}; all I/O goes through {@link Transport}. This class carries out the router's
 * decisions and makes none itself.
 *
 * <p>It manages the lifecycle phases and the order of events. The other classes of this package
 * each have one responsibility and are called only on the same thread.
 */
public final class Gateway implements RouterActions {

  /** The lifecycle phases, from start to exit. */
  public enum Phase {
    /** Created, but not yet listening. */
    STARTING,
    /** Accepts clients, but is not yet ready to route requests. */
    LISTENING,
    /** Routes requests. */
    SERVING,
    /** Shutdown was requested; requests that are received are still served. */
    DRAINING,
    /** Shutdown is complete; the event loop returns. */
    STOPPED
  }

  /** A change of the gateway's state, applied on the event loop's thread. */
  @FunctionalInterface
  interface Event extends Consumer<Gateway> {}

  private static final Duration STATE_LOG_INTERVAL = Duration.ofSeconds(1);

  private static final Logger LOG = Logger.getLogger(Gateway.class.getName());

  private final GatewayConfig config;
  private final Transport transport;
  private final TimerQueue<Runnable> timers = new TimerQueue<>();

  /** The wake-up that the router requested last. */
  private Timer routerWakeUp = Timer.NONE;

  /** Tasks to run at the end of the current event or timer. */
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();

  private final RateLimitedLogger warnings = new RateLimitedLogger(LOG);
  private final ExtensionHost extensions = new ExtensionHost();
  private final ResponseMemory responseMemory;
  private final ServerConnectionPool serverConnections;
  private final DiscoveryWatcher discovery;
  private final EndpointDirectory endpoints;
  private final HealthCheckRunner healthChecks;
  private final AttemptTracker attempts;
  private final ClientConnections clients;
  private final RequestPipeline pipeline;
  private final CancelRequests cancelRequests;
  private final ConfigReload configReload;
  private final GracefulShutdown shutdown;

  /** Null before the gateway is started. */
  private Router router;

  private Phase phase = Phase.STARTING;
  private boolean warmedUp;
  private Duration now = Duration.ZERO;
  private long lastConnectionId;

  /**
   * Creates a gateway in phase {@link Phase#STARTING}.
   *
   * @param unixTimeAtStart the Unix time, as a duration since 1970, at time zero of the event loop
   */
  Gateway(GatewayConfig config, Transport transport, Duration unixTimeAtStart) {
    this(
        config,
        transport,
        unixTimeAtStart,
        ResponseMemoryPolicy.ofHeap(Runtime.getRuntime().maxMemory()));
  }

  /**
   * Creates a gateway in phase {@link Phase#STARTING}.
   *
   * @param unixTimeAtStart the Unix time, as a duration since 1970, at time zero of the event loop
   * @param responseMemoryPolicy decides what may be held of the responses of servers
   */
  Gateway(
      GatewayConfig config,
      Transport transport,
      Duration unixTimeAtStart,
      ResponseMemoryPolicy responseMemoryPolicy) {
    this.config = config;
    this.transport = transport;
    this.responseMemory = new ResponseMemory(responseMemoryPolicy);
    UnixTime unixTime = new UnixTime(unixTimeAtStart);
    // Three eighths of the descriptors each for clients and servers. The remaining quarter is for
    // the process itself and for connections accepted before another one is evicted for them.
    int maxConnections = config.maxDescriptors() * 3 / 8;
    serverConnections =
        new ServerConnectionPool(
            this, transport, config.connectTimeout(), config.serverIdleTimeout(), maxConnections);
    discovery = new DiscoveryWatcher(this, transport, config);
    endpoints = new EndpointDirectory(this, unixTime);
    ServerReports reports = new ServerReports(this, endpoints, unixTime, config.connectTimeout());
    healthChecks = new HealthCheckRunner(this, config, reports);
    attempts = new AttemptTracker(this, transport, reports);
    clients = new ClientConnections(this, transport, config, maxConnections);
    RequestValidator validator = new RequestValidator(config, endpoints, discovery, attempts);
    pipeline = new RequestPipeline(this, transport, config, validator, unixTime);
    cancelRequests = new CancelRequests(clients, attempts);
    configReload = new ConfigReload(config, discovery, extensions);
    shutdown = new GracefulShutdown(this, transport, clients, attempts, extensions);
  }

  // ---- Events and timers

  /** Applies one event, with all tasks that it defers. */
  void handle(Duration time, Event event) {
    advanceTo(time);
    event.accept(this);
    runDeferred();
  }

  /** Runs all timers that are due at the given current time. */
  void runDueTimers(Duration time) {
    boolean more = true;
    while (more) {
      more = runNextDueTimer(time, time);
    }
  }

  /**
   * Runs the next timer, if its due time is not after {@code dueBy}. The caller reads the clock
   * again for each timer; otherwise, after slow timers, the last ones would act on an outdated
   * time.
   *
   * @param time the current time
   * @return whether any timer was due
   */
  boolean runNextDueTimer(Duration dueBy, Duration time) {
    Runnable timer = timers.pollExpired(dueBy);
    if (timer == null) {
      return false;
    }
    advanceTo(time);
    timer.run();
    runDeferred();
    return true;
  }

  /** Returns the earliest due time of any timer; null if there is none. */
  Duration nextTimerTime() {
    return timers.nextExpiryTime();
  }

  private void advanceTo(Duration time) {
    now = time.compareTo(now) > 0 ? time : now;
  }

  private void runDeferred() {
    for (Runnable task = deferred.poll(); task != null; task = deferred.poll()) {
      task.run();
    }
  }

  /** Returns the time of the current event since the gateway's start; it never decreases. */
  Duration now() {
    return now;
  }

  /** Schedules a timer. If its due time has passed, it runs with the next timers. */
  Timer schedule(Duration dueTime, Runnable timer) {
    return timers.add(dueTime, timer);
  }

  /** Runs a task at the end of the current event or timer, after the current call has returned. */
  void defer(Runnable task) {
    deferred.add(task);
  }

  /**
   * Returns an id for an outgoing connection: negative, as accepted connections have positive ids.
   */
  long nextConnectionId() {
    return --lastConnectionId;
  }

  // ---- Components

  ServerConnectionPool serverConnections() {
    return serverConnections;
  }

  ResponseMemory responseMemory() {
    return responseMemory;
  }

  DiscoveryWatcher discovery() {
    return discovery;
  }

  AttemptTracker attempts() {
    return attempts;
  }

  ClientConnections clients() {
    return clients;
  }

  RequestPipeline pipeline() {
    return pipeline;
  }

  CancelRequests cancelRequests() {
    return cancelRequests;
  }

  ConfigReload configReload() {
    return configReload;
  }

  GracefulShutdown shutdown() {
    return shutdown;
  }

  /** Returns the router; null before the gateway is started. */
  Router router() {
    return router;
  }

  // ---- Lifecycle

  Phase phase() {
    return phase;
  }

  /** Enters a phase. */
  void enterPhase(Phase next) {
    LOG.info(() -> phase + " to " + next + " after " + now.toMillis() + " ms");
    phase = next;
  }

  /** Adds an extension; must be called before the start, in the order of the extensions' start. */
  void addExtension(GatewayExtension extension) {
    extensions.add(extension);
  }

  /**
   * Starts the extensions, then the gateway.
   *
   * @param context gives extensions access to the gateway; unused if there are none
   */
  void start(ExtensionContext context) {
    extensions.start(context);
    start();
  }

  /** Starts the gateway without extensions. */
  void start() {
    LOG.info(() -> config.describe().lines().findFirst().orElse(""));
    router = new Router(this, config.routing(), config.seed());
    enterPhase(Phase.LISTENING);
    transport.listen(config.listenAddress());
    transport.warmUp();
    if (config.gossipListenAddress() != null) {
      transport.listenForGossip(config.gossipListenAddress());
    }
    discovery.start();
    if (LOG.isLoggable(Level.FINE)) {
      logState(now);
    }
  }

  /** Requests a graceful shutdown; see {@link GracefulShutdown}. */
  void stop() {
    shutdown.begin();
  }

  private void serveIfReady() {
    if (phase == Phase.LISTENING
        && warmedUp
        && !endpoints.isEmpty()
        && discovery.isListValid()
        && extensions.isReady()) {
      enterPhase(Phase.SERVING);
    }
  }

  /** Records that the request path has been run often enough for the JVM to compile it. */
  void warmUpCompleted() {
    warmedUp = true;
    serveIfReady();
  }

  boolean isWarmedUp() {
    return warmedUp;
  }

  /** Re-evaluates the phase after an extension's readiness or completion may have changed. */
  void extensionStateChanged() {
    serveIfReady();
    shutdown.stopIfDone();
  }

  // ---- Logging

  /** Logs a warning that may occur with every request, at a limited rate. */
  void warn(String message) {
    warnings.log(now, Level.WARNING, message);
  }

  /** Logs the state periodically, for comparison with the observed network traffic. */
  private void logState(Duration dueTime) {
    LOG.fine(() -> "event loop lag " + now.minus(dueTime).toMillis() + " ms; " + describe());
    Duration next = now.plus(STATE_LOG_INTERVAL);
    schedule(next, () -> logState(next));
  }

  /**
   * Describes the state for the log. The length is bounded by the numbers of open connections and
   * listed endpoints.
   */
  String describe() {
    return clients.size()
        + " clients, "
        + attempts.size()
        + " requests, "
        + endpoints.size()
        + " servers, "
        + timers.size()
        + " timers; "
        + attempts.describeTotals()
        + "; "
        + serverConnections.describe()
        + "; "
        + router.describe(now)
        + "; "
        + responseMemory.describe()
        + (transport.describe().isEmpty() ? "" : "; " + transport.describe())
        + (extensions.isEmpty() ? "" : "; " + extensions.describe());
  }

  // ---- Notifications

  /**
   * Handles the completion of {@link Transport#afterPendingReads}: everything that had arrived on
   * any connection at the time of the call has been read.
   */
  void pendingReadsDone(long connectionId) {
    if (!discovery.pendingReadsDone(connectionId)) {
      serverConnections.pendingReadsDone(connectionId);
    }
  }

  /**
   * Updates the known endpoints from discovery.
   *
   * @param complete whether endpoints that are not in the list are removed
   */
  void endpointsListed(boolean complete, List<DiscoveredEndpoint> listed) {
    endpoints.apply(complete, listed);
    serveIfReady();
  }

  /** Sets whether the endpoint list is valid and re-evaluates readiness. */
  void setEndpointListValid(boolean valid) {
    router.setEndpointListValid(now, valid);
    serveIfReady();
  }

  /** Handles gossip from another gateway that a server is unreachable. */
  void gossipReceived(ServerId server) {
    router.gossipReceived(now, server);
  }

  // ---- Actions of the router

  @Override
  public void sendAttempt(RequestId id, ServerId server, Duration until) {
    attempts.send(id, server, until);
  }

  @Override
  public void cancel(RequestId id, int attempt) {
    attempts.cancel(id, attempt);
  }

  @Override
  public void reject(RequestId id, Duration retryAfter) {
    attempts.reject(id, retryAfter);
  }

  @Override
  public void fail(RequestId id) {
    attempts.fail(id);
  }

  @Override
  public void sendHealthCheck(ServerId server) {
    healthChecks.send(server);
  }

  @Override
  public void gossipUnreachable(ServerId server) {
    byte[] message = GossipMessage.encode(server);
    if (config.gossipTargetAddress() != null && message.length <= GossipMessage.MAX_BYTES) {
      transport.sendGossip(config.gossipTargetAddress(), message);
    }
  }

  @Override
  public void endpointRemoved(ServerId server) {
    serverConnections.removeServer(server);
    endpoints.remove(server);
  }

  /**
   * Does nothing: {@link DiscoveryWatcher} watches the list from the start, also after failures.
   */
  @Override
  public void requestEndpointList() {}

  @Override
  public void scheduleTick(Duration when) {
    schedule(when, () -> router.tick(now));
  }

  @Override
  public void scheduleTimer(Duration when) {
    // The router ignores a wake-up that a later request has superseded.
    routerWakeUp.cancel();
    routerWakeUp = schedule(when, () -> router.timersDue(now));
  }
}
