package weldcross.chaos.load;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import weldcross.chaos.load.ClientOperation.Outcome;

/**
 * Open-loop load: sends requests at a constant rate, regardless of the outcome of earlier ones.
 * Each request belongs to a session, which has one request open at a time. A session stays with one
 * gateway until a request to it goes unanswered, and then changes to another. All outcomes and
 * unsolicited messages are recorded.
 */
public final class LoadGenerator implements AutoCloseable {

  /** The retry delay after a rejection without Retry-After, or if no connection came up. */
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(100);

  private static final int MAX_OPEN_REQUESTS = 2000;
  private static final int MAX_SESSION_REQUESTS = 12;
  private static final long CLIENT_STACK_BYTES = 192 << 10;
  private static final long STOP_TIMEOUT_SECONDS = 10;

  private final List<InetSocketAddress> gateways;
  private final int groups;
  private final LongSupplier clock;
  private final SplittableRandom random;
  private final String idPrefix;
  private final Map<Integer, ArrayDeque<GatewayConnection>> idleConnections = new HashMap<>();
  private final ArrayDeque<ClientSession> idleSessions = new ArrayDeque<>();
  private final List<String> keys = new ArrayList<>();
  private final List<ClientOperation> operations = new ArrayList<>();
  private final List<String> unexpectedMessages = new ArrayList<>();
  private final ExecutorService clients =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(null, task, "client", CLIENT_STACK_BYTES);
            thread.setDaemon(true);
            return thread;
          });
  private final AtomicBoolean stopping = new AtomicBoolean();
  private Thread pacer;
  private long lastId;
  private int openRequests;

  /**
   * Creates a generator that sends nothing yet.
   *
   * @param gateways the address at which clients reach each gateway, by gateway number
   * @param groups the number of replica groups
   * @param clock nanoseconds since the start of the load
   * @param seed the seed of all random choices
   */
  public LoadGenerator(
      List<InetSocketAddress> gateways, int groups, LongSupplier clock, long seed) {
    this.gateways = gateways;
    this.groups = groups;
    this.clock = clock;
    this.random = new SplittableRandom(seed);
    this.idPrefix = String.format("%08x", (int) seed);
  }

  /**
   * Starts sending requests at a constant rate until {@link #stop}.
   *
   * @param requestsPerSecond above zero
   */
  public void start(int requestsPerSecond) {
    synchronized (this) {
      for (int session = 0; session < requestsPerSecond; session++) {
        idleSessions.add(newSession());
      }
    }
    long interval = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
    pacer = new Thread(() -> pace(interval), "pacer");
    pacer.setDaemon(true);
    pacer.start();
  }

  private void pace(long interval) {
    long next = clock.getAsLong();
    while (!stopping.get()) {
      long wait = next - clock.getAsLong();
      if (wait > 0) {
        LockSupport.parkNanos(wait);
      } else {
        startRequest();
        next += interval;
      }
    }
  }

  /**
   * Stops sending and waits until all open requests have an outcome.
   *
   * @throws InterruptedException if the calling thread is interrupted
   */
  public void stop() throws InterruptedException {
    stopping.set(true);
    if (pacer != null) {
      pacer.join();
    }
    clients.shutdown();
    clients.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    try {
      stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    synchronized (this) {
      idleConnections.values().forEach(idle -> idle.forEach(GatewayConnection::close));
    }
  }

  /**
   * Returns the operations that have an outcome.
   *
   * @return a copy, in the order of the outcomes
   */
  public synchronized List<ClientOperation> operations() {
    return List.copyOf(operations);
  }

  /**
   * Returns the unsolicited messages received on connections.
   *
   * @return a copy
   */
  public synchronized List<String> unexpectedMessages() {
    return List.copyOf(unexpectedMessages);
  }

  /**
   * Returns the number of operations that have an outcome.
   *
   * @return the number so far
   */
  public synchronized int operationCount() {
    return operations.size();
  }

  private void startRequest() {
    ClientSession session;
    RequestType type;
    String id;
    String key;
    synchronized (this) {
      if (openRequests >= MAX_OPEN_REQUESTS) {
        return;
      }
      openRequests++;
      ClientSession idle = idleSessions.poll();
      session = idle == null ? newSession() : idle;
      type = RequestType.draw(random);
      id = nextId();
      // Session reads and writes use the key of the session, bounded reads that of any session.
      key = type == RequestType.BOUNDED_READ ? keys.get(random.nextInt(keys.size())) : session.key;
    }
    clients.execute(() -> runRequest(session, type, id, key));
  }

  private void runRequest(ClientSession session, RequestType type, String id, String key) {
    try {
      Optional<Duration> retryAfter = send(session, type, id, key);
      if (retryAfter.isPresent() && !stopping.get()) {
        LockSupport.parkNanos(retryAfter.get().toNanos());
        // One retry, as a new request.
        Optional<Duration> unused = send(session, type, nextId(), key);
      }
    } finally {
      synchronized (this) {
        openRequests--;
        session.requestsLeft--;
        idleSessions.add(session.requestsLeft > 0 ? session : newSession());
      }
    }
  }

  private synchronized String nextId() {
    lastId++;
    return String.format("%s%08x", idPrefix, lastId);
  }

  private ClientSession newSession() {
    ClientSession session =
        new ClientSession(
            nextId(),
            random.nextInt(groups),
            random.nextInt(gateways.size()),
            random.nextInt(MAX_SESSION_REQUESTS) + 1);
    keys.add(session.key);
    return session;
  }

  /** Sends one request and records its outcome; returns the retry delay if it should be retried. */
  private Optional<Duration> send(ClientSession session, RequestType type, String id, String key) {
    Attempt attempt = new Attempt(session, type, id, key);
    attempt.run();
    if (attempt.outcome == Outcome.OK && type.isWrite()) {
      session.lastWrite = id;
    }
    synchronized (this) {
      if (attempt.outcome.isUnanswered()) {
        session.gateway = pickOtherGateway(session.gateway);
      }
      operations.add(attempt.toOperation());
    }
    return attempt.retryAfter;
  }

  private int pickOtherGateway(int gateway) {
    return gateways.size() == 1
        ? 0
        : (gateway + 1 + random.nextInt(gateways.size() - 1)) % gateways.size();
  }

  /** One request on one connection. */
  private final class Attempt {
    private final ClientSession session;
    private final RequestType type;
    private final String id;
    private final String key;
    private final int gateway;
    private final String after;
    private GatewayConnection connection;
    private long sent = clock.getAsLong();
    private long ended;
    private Outcome outcome;
    private String value = "";
    private String detail = "";
    private Optional<Duration> retryAfter = Optional.empty();

    Attempt(ClientSession session, RequestType type, String id, String key) {
      this.session = session;
      this.type = type;
      this.id = id;
      this.key = key;
      this.gateway = session.gateway;
      this.after = session.lastWrite;
    }

    void run() {
      try {
        connection = acquireConnection(gateway);
        connection.send(RequestStatement.of(type, id, key, session.group));
        sent = clock.getAsLong();
        long deadline = sent + type.deadline().plus(ClientOperation.DEADLINE_SLACK).toNanos();
        onResponse(connection.awaitResponse(deadline, clock));
      } catch (SocketTimeoutException e) {
        outcome = connection == null ? Outcome.NOT_SENT : Outcome.TIMED_OUT;
        detail = connection == null ? "no connection came up" : "";
      } catch (ConnectException e) {
        outcome = Outcome.NOT_SENT;
        detail = String.valueOf(e.getMessage());
      } catch (IOException e) {
        // The proxy accepts connections on behalf of the gateway, so a connection whose startup
        // was never answered did not reach the gateway.
        boolean reached = connection != null && connection.isStartupCompleted();
        outcome = reached ? Outcome.CONNECTION_CLOSED : Outcome.NOT_SENT;
        detail = ClientOperation.detailOf(e);
      }
      ended = clock.getAsLong();
      if (outcome == Outcome.NOT_SENT) {
        retryAfter = Optional.of(DEFAULT_RETRY_AFTER);
      }
      if (outcome.isUnanswered() && connection != null) {
        connection.close();
      }
    }

    private void onResponse(GatewayConnection.Response response) {
      if (response.errorCode().isEmpty()) {
        outcome = Outcome.OK;
        value = response.value();
      } else {
        detail = response.errorCode().get();
        outcome = Outcome.ofError(detail);
      }
      if (outcome == Outcome.REJECTED) {
        retryAfter = Optional.of(response.retryAfter().orElse(DEFAULT_RETRY_AFTER));
      }
      if (response.reusable()) {
        releaseConnection(gateway, connection);
      } else {
        connection.close();
      }
    }

    ClientOperation toOperation() {
      return new ClientOperation(
          id,
          session.key,
          type,
          session.group,
          "n" + gateway,
          sent,
          ended,
          outcome,
          value,
          detail,
          after);
    }
  }

  /** Returns a usable idle connection to a gateway, or opens a new one. */
  private GatewayConnection acquireConnection(int gateway) throws IOException {
    GatewayConnection connection = pollIdleConnection(gateway);
    while (connection != null && !isUsable(connection)) {
      connection.close();
      connection = pollIdleConnection(gateway);
    }
    return connection != null ? connection : new GatewayConnection(gateways.get(gateway));
  }

  private synchronized GatewayConnection pollIdleConnection(int gateway) {
    ArrayDeque<GatewayConnection> idle = idleConnections.get(gateway);
    return idle == null ? null : idle.pollLast();
  }

  private boolean isUsable(GatewayConnection connection) {
    GatewayConnection.IdleCheck check = connection.checkIdle();
    if (check.state() == GatewayConnection.IdleState.UNEXPECTED_DATA) {
      synchronized (this) {
        unexpectedMessages.add(check.unexpected());
      }
    }
    return check.state() == GatewayConnection.IdleState.USABLE;
  }

  private synchronized void releaseConnection(int gateway, GatewayConnection connection) {
    idleConnections.computeIfAbsent(gateway, g -> new ArrayDeque<>()).add(connection);
  }
}
