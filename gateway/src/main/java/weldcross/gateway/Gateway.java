package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import weldcross.config.GatewayConfig;
import weldcross.discovery.DiscoveredEndpoint;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.gossip.GossipMessage;
import weldcross.routing.RequestId;
import weldcross.routing.Router;
import weldcross.routing.RouterActions;
import weldcross.routing.ServerId;

/**
 * The one owner of a gateway's state. Every change is an event that goes through {@link #reduce},
 * on one thread. Events call the router, which acts through this as its {@link RouterActions}; all
 * input and output goes through {@link Transport}. What the router decides is carried out as it
 * says; no routing decision is made here.
 *
 * <p>This class keeps the phases and the order of events. The other classes of this package each
 * own one concern, and are called on the same thread only.
 */
public final class Gateway implements RouterActions {

  /** The phases from start to exit. */
  public enum Phase {
    /** Created; not listening yet. */
    STARTING,
    /** Accepts clients, but cannot route requests yet. */
    LISTENING,
    /** Routes requests. */
    SERVING,
    /** A stop was requested: what is received is still served. */
    DRAINING,
    /** Done; the event loop returns. */
    STOPPED
  }

  /** A change of the gateway's state, made on its one thread. */
  @FunctionalInterface
  interface Event extends Consumer<Gateway> {}

  private static final Duration STATE_LOG_INTERVAL = Duration.ofSeconds(1);

  private static final Logger LOG = Logger.getLogger(Gateway.class.getName());

  private final GatewayConfig config;
  private final Transport transport;
  private final TimerQueue timers = new TimerQueue();

  /** Run before the event under way ends, but not inside the call that asked for them. */
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();

  private final RateLimitedLogger warnings = new RateLimitedLogger(LOG);
  private final ExtensionHost extensions = new ExtensionHost();
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

  /** Null until the start. */
  private Router router;

  private Phase phase = Phase.STARTING;
  private boolean warmedUp;
  private Duration now = Duration.ZERO;
  private long lastNumber;

  /**
   * Creates a gateway in phase {@link Phase#STARTING}.
   *
   * @param unixAtStart Unix time, as time since 1970, when the time given to events was zero
   */
  Gateway(GatewayConfig config, Transport transport, Duration unixAtStart) {
    this.config = config;
    this.transport = transport;
    UnixTime unixTime = new UnixTime(unixAtStart);
    // Three eighths of the sockets each for clients and servers; the rest is for the process
    // itself, and for connections that are accepted before room is made for them.
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

  // ---- Order of events

  /** Makes one change: all that follows from it at this moment is done when this returns. */
  void reduce(Duration at, Event event) {
    advance(at);
    event.accept(this);
    runDeferred();
  }

  /** Runs all timers that are due. */
  void reduceDue(Duration at) {
    for (boolean more = true; more; ) {
      more = reduceNextDue(at, at);
    }
  }

  /**
   * Runs the timers of the earliest due time, if that is not after {@code until}. Each due time is
   * an event of its own: run at the time of the first, the last would act on a time long past.
   *
   * @param at the current time
   * @return whether any timer was due
   */
  boolean reduceNextDue(Duration until, Duration at) {
    List<Runnable> due = timers.poll(until);
    if (due == null) {
      return false;
    }
    advance(at);
    for (Runnable timer : due) {
      timer.run();
      runDeferred();
    }
    return true;
  }

  /** Returns the earliest due time of any timer; null if there is none. */
  Duration nextDue() {
    return timers.next();
  }

  private void advance(Duration at) {
    now = at.compareTo(now) > 0 ? at : now;
  }

  private void runDeferred() {
    for (Runnable next = deferred.poll(); next != null; next = deferred.poll()) {
      next.run();
    }
  }

  /** Returns the time of the event under way since the gateway's start; it never goes back. */
  Duration now() {
    return now;
  }

  /** Has a timer run at a time, or at once if that has passed, as an event of its own. */
  void at(Duration when, Runnable timer) {
    timers.at(when, timer);
  }

  /** Has this run in the event under way, but not inside the call that is being made. */
  void soon(Runnable next) {
    deferred.add(next);
  }

  /** Returns a number for an outgoing connection: negative; accepted ones have positive numbers. */
  long nextNumber() {
    return --lastNumber;
  }

  // ---- The concerns, each with its own state

  ServerConnectionPool serverConnections() {
    return serverConnections;
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

  /** Returns the router; null until the start. */
  Router router() {
    return router;
  }

  // ---- Phases

  Phase phase() {
    return phase;
  }

  /** Goes on to a phase; called by this package's own classes only. */
  void enter(Phase next) {
    LOG.info(() -> phase + " to " + next + " after " + now.toMillis() + " ms");
    phase = next;
  }

  /** Adds an extension; called before the start, in the order in which they are to start. */
  void addExtension(GatewayExtension extension) {
    extensions.add(extension);
  }

  /**
   * Starts the extensions, then the gateway.
   *
   * @param context what extensions may ask of the gateway; unused if there are none
   */
  void start(ExtensionContext context) {
    extensions.start(context);
    start();
  }

  /** Starts the gateway without extensions. */
  void start() {
    LOG.info(() -> config.describe().lines().findFirst().orElse(""));
    router = new Router(this, config.routing(), config.seed());
    enter(Phase.LISTENING);
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

  /** Requests a stop; see {@link GracefulShutdown}. */
  void stop() {
    shutdown.begin();
  }

  private void serveIfReady() {
    if (phase == Phase.LISTENING
        && warmedUp
        && !endpoints.isEmpty()
        && discovery.isListValid()
        && extensions.isReady()) {
      enter(Phase.SERVING);
    }
  }

  /** The code of the request path has been run often enough to be compiled. */
  void warmUpCompleted() {
    warmedUp = true;
    serveIfReady();
  }

  boolean isWarm() {
    return warmedUp;
  }

  /** Whether an extension is ready, or done, may have changed. */
  void extensionStateChanged() {
    serveIfReady();
    shutdown.stopIfDone();
  }

  // ---- Log

  /** Logs a warning that may come with every request: once a second, with a count of the rest. */
  void warn(String message) {
    warnings.log(now, Level.WARNING, message);
  }

  /** Logs the state periodically, to be compared with what crosses the sockets. */
  private void logState(Duration due) {
    LOG.fine(() -> now.minus(due).toMillis() + " ms behind; " + describe());
    Duration next = now.plus(STATE_LOG_INTERVAL);
    at(next, () -> logState(next));
  }

  /** Describes the state, for the log; its size is bounded by what is open and listed. */
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
        + (extensions.isEmpty() ? "" : "; " + extensions.describe());
  }

  // ---- What others report

  /**
   * All that was received on any connection when {@link Transport#afterPendingReads} was called has
   * been read.
   */
  void pendingReadsDone(long connection) {
    if (!discovery.pendingReadsDone(connection)) {
      serverConnections.pendingReadsDone(connection);
    }
  }

  /**
   * Discovery listed endpoints.
   *
   * @param complete whether endpoints that are not in the list are removed
   */
  void listed(boolean complete, List<DiscoveredEndpoint> listed) {
    endpoints.apply(complete, listed);
    serveIfReady();
  }

  /** Whether the endpoint list is valid has changed, or is to be looked at again. */
  void setEndpointListValid(boolean valid) {
    router.setEndpointListValid(now, valid);
    serveIfReady();
  }

  /** Another gateway found no process at a server's address. */
  void gossipReceived(ServerId server) {
    router.gossipReceived(now, server);
  }

  // ---- What the router asks for

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

  /** Does nothing: the list is watched from the start, and again after each failure. */
  @Override
  public void watchEndpointList() {}

  @Override
  public void scheduleTick(Duration when) {
    at(when, () -> router.tick(now));
  }

  @Override
  public void scheduleTimer(Duration when) {
    at(when, () -> router.timersDue(now));
  }
}
