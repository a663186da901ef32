package weldcross.fakes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * A fake primary or replica of one replica group, which serves simple queries of PostgreSQL
 * protocol v3: reads and writes of one key, health checks ({@code SELECT 1}, {@code SHOW stats})
 * and the outcome of an earlier request ({@code SELECT outcome FROM rpcs WHERE id = '...'}). Each
 * response carries the server's role and replication position in ParameterStatus messages. Faults
 * are switched on and off through setters.
 */
public final class FakePostgresServer implements AutoCloseable {

  private static final Pattern READ =
      Pattern.compile("SELECT content FROM kv WHERE name = '([^']*)' /\\* (.*) \\*/");
  private static final Pattern WRITE =
      Pattern.compile(
          "INSERT INTO kv \\(name, content\\) VALUES \\('([^']*)', '\\\\x([0-9a-f]*)'\\)"
              + " RETURNING content /\\* (.*) \\*/");
  private static final Pattern OUTCOME =
      Pattern.compile("SELECT outcome FROM rpcs WHERE id = '([^']*)'.*");
  private static final Pattern REQUEST_ID = Pattern.compile("(?:^|,)id=([^,]+)");
  private static final String SELECT_TAG = "SELECT 1";

  private static final String READ_ONLY_TRANSACTION = "25006";
  private static final String TOO_MANY_CONNECTIONS = "53300";
  private static final String PROTOCOL_VIOLATION = "08P01";
  private static final String INTERNAL_ERROR = "XX000";

  /** The session attribute that holds the {@link PostgresClientStream}. */
  private static final String STREAM_ATTRIBUTE = "stream";

  private final String name;
  private final int group;
  private final ReplicatedStoreModel store;
  private final ReplicatedStoreModel.Clock clock;
  private final ScheduledExecutorService executor;
  private final InetSocketAddress address;
  private final int workers;
  private final int maxQueued;

  /** Statements waiting for a worker; also the lock that guards {@link #busyWorkers}. */
  private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

  private NioSocketAcceptor acceptor;
  private int busyWorkers;
  private final boolean primary;
  private volatile Duration lag;

  /** A replica never loses what it has applied: its position never falls below this value. */
  private volatile long minPosition = Long.MIN_VALUE;

  private volatile Duration serviceTime;
  private volatile boolean stalled;
  private volatile boolean failing;
  private volatile boolean losingResponses;
  private volatile boolean overstatingPosition;
  private volatile boolean duplicatingWrites;
  private volatile long upSinceMillis;

  /**
   * Starts a server on a free port.
   *
   * @param name the name of the server in the endpoint list
   * @param group the replica group
   * @param primary whether the server accepts writes
   * @param lag the replication lag of a replica
   * @param serviceTime the time that one statement takes
   * @param workers the number of statements executed concurrently; twice as many may be queued
   * @param host the address to listen on
   * @param store the data of all groups
   * @param clock the clock of the run
   * @param executor executes the statements
   * @throws IOException if the server cannot listen on the address
   */
  public FakePostgresServer(
      String name,
      int group,
      boolean primary,
      Duration lag,
      Duration serviceTime,
      int workers,
      InetAddress host,
      ReplicatedStoreModel store,
      ReplicatedStoreModel.Clock clock,
      ScheduledExecutorService executor)
      throws IOException {
    this.name = name;
    this.group = group;
    this.primary = primary;
    this.lag = lag;
    this.serviceTime = serviceTime;
    this.workers = workers;
    this.maxQueued = 2 * workers;
    this.store = store;
    this.clock = clock;
    this.executor = executor;
    listen(new InetSocketAddress(host, 0));
    this.address = acceptor.getLocalAddress();
  }

  private void listen(InetSocketAddress at) throws IOException {
    NioSocketAcceptor next = new NioSocketAcceptor(1);
    next.setReuseAddress(true);
    next.getSessionConfig().setTcpNoDelay(true);
    next.setHandler(new ConnectionHandler());
    next.bind(at);
    acceptor = next;
  }

  /**
   * Returns the name of the server in the endpoint list.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the replica group.
   *
   * @return the group number
   */
  public int group() {
    return group;
  }

  /**
   * Returns the address on which the server listens.
   *
   * @return the address, which stays the same across restarts
   */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Returns whether the server accepts writes.
   *
   * @return true for the primary of its group
   */
  public boolean isPrimary() {
    return primary;
  }

  /**
   * Returns the time of the last restart.
   *
   * @return Unix time in milliseconds; zero if the server was never restarted
   */
  public long upSinceMillis() {
    return upSinceMillis;
  }

  /**
   * Sets the replication lag. If the lag increases, the position does not move until the replica is
   * that far behind.
   *
   * @param newLag zero or more
   */
  public void setLag(Duration newLag) {
    minPosition = visibleUntil();
    lag = newLag;
  }

  /**
   * Sets the time that one statement takes.
   *
   * @param newServiceTime zero or more
   */
  public void setServiceTime(Duration newServiceTime) {
    serviceTime = newServiceTime;
  }

  /**
   * Sets whether statements stay queued without being executed.
   *
   * @param stalled whether the server stalls from now on
   */
  public void setStalled(boolean stalled) {
    this.stalled = stalled;
    if (!stalled) {
      executor.execute(this::startQueuedWork);
    }
  }

  /**
   * Sets whether statements fail with an error and without an effect.
   *
   * @param failing whether statements fail from now on
   */
  public void setFailing(boolean failing) {
    this.failing = failing;
  }

  /**
   * Sets whether the connection is reset after a write is applied, before the response is sent.
   *
   * @param losingResponses whether responses to writes are lost from now on
   */
  public void setLosingResponses(boolean losingResponses) {
    this.losingResponses = losingResponses;
  }

  /**
   * Sets whether the server reports the current time as its position, regardless of its lag.
   *
   * @param overstatingPosition whether the reported position is wrong from now on
   */
  public void setOverstatingPosition(boolean overstatingPosition) {
    this.overstatingPosition = overstatingPosition;
  }

  /**
   * Sets whether each write is applied twice.
   *
   * @param duplicatingWrites whether writes are duplicated from now on
   */
  public void setDuplicatingWrites(boolean duplicatingWrites) {
    this.duplicatingWrites = duplicatingWrites;
  }

  /** Simulates a killed process: resets all connections and refuses new ones. */
  public synchronized void kill() {
    if (acceptor == null) {
      return;
    }
    acceptor.getManagedSessions().values().forEach(FakePostgresServer::reset);
    acceptor.unbind();
    acceptor.dispose();
    acceptor = null;
    synchronized (queue) {
      queue.clear();
    }
  }

  /**
   * Restarts the server if it was killed.
   *
   * @throws IOException if the server cannot listen on its address
   */
  public synchronized void start() throws IOException {
    if (acceptor == null) {
      listen(address);
      upSinceMillis = clock.unixMillis(clock.nanos());
    }
  }

  @Override
  public void close() {
    kill();
  }

  private static void reset(IoSession session) {
    try {
      ((SocketSessionConfig) session.getConfig()).setSoLinger(0);
    } catch (RuntimeIoException e) {
      // The connection is closed already.
    }
    session.closeNow();
  }

  private final class ConnectionHandler extends IoHandlerAdapter {

    @Override
    public void sessionOpened(IoSession session) {
      session.setAttribute(STREAM_ATTRIBUTE, new PostgresClientStream());
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      PostgresClientStream stream = (PostgresClientStream) session.getAttribute(STREAM_ATTRIBUTE);
      stream.append((IoBuffer) message);
      handleMessages(session, stream);
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }

  private void handleMessages(IoSession session, PostgresClientStream stream) {
    while (true) {
      PostgresClientStream.Message message = stream.next();
      switch (message.kind()) {
        case NONE -> {
          return;
        }
        case STARTUP -> send(session, new PostgresMessageWriter().authenticationOk().ready());
        case QUERY -> {
          execute(session, stream, message.text());
          return;
        }
        case TERMINATE -> {
          session.closeOnFlush();
          return;
        }
      }
    }
  }

  private void execute(IoSession session, PostgresClientStream stream, String query) {
    Matcher read = READ.matcher(query);
    Matcher write = WRITE.matcher(query);
    Matcher outcome = OUTCOME.matcher(query);
    if (read.matches()) {
      String id = requestId(read.group(2));
      String key = read.group(1);
      enqueueRequest(session, stream, id, () -> Optional.of(read(id, key)));
    } else if (write.matches()) {
      String id = requestId(write.group(3));
      String key = write.group(1);
      String value = write.group(2);
      enqueueRequest(session, stream, id, () -> write(stream, id, key, value));
    } else if (outcome.matches()) {
      enqueue(session, stream, () -> Duration.ZERO, () -> Optional.of(outcomeOf(outcome.group(1))));
    } else if (query.equals("SELECT 1")) {
      enqueue(session, stream, () -> Duration.ZERO, () -> Optional.of(row("1", SELECT_TAG)));
    } else if (query.equals("SHOW stats")) {
      enqueue(session, stream, () -> Duration.ZERO, () -> Optional.of(row(stats(), "SHOW")));
    } else {
      String text = "statement not supported by this server";
      respond(session, stream, new PostgresMessageWriter().error(PROTOCOL_VIOLATION, text).ready());
    }
  }

  private static String requestId(String comment) {
    Matcher id = REQUEST_ID.matcher(comment);
    return id.find() ? id.group(1) : "";
  }

  private String stats() {
    return "x0=" + positionMillis() / 1000.0 + ",x1=" + (primary ? 1 : 0);
  }

  /** Records the arrival of a read or write and queues it; it fails if failures are injected. */
  private void enqueueRequest(
      IoSession session,
      PostgresClientStream stream,
      String id,
      Supplier<Optional<PostgresMessageWriter>> statement) {
    store.recordArrival(new ReplicatedStoreModel.Arrival(clock.nanos(), id, name, stream.number()));
    enqueue(
        session,
        stream,
        () -> serviceTime,
        () ->
            failing
                ? Optional.of(
                    new PostgresMessageWriter().error(INTERNAL_ERROR, "injected failure").ready())
                : statement.get());
  }

  /**
   * Queues a statement until a worker is free, or rejects it if the queue is full.
   *
   * @param duration the time that the statement takes, evaluated when a worker starts it
   * @param statement executes the statement and returns the response; empty to reset the connection
   *     instead of responding
   */
  private void enqueue(
      IoSession session,
      PostgresClientStream stream,
      Supplier<Duration> duration,
      Supplier<Optional<PostgresMessageWriter>> statement) {
    Runnable work = () -> runAfter(duration.get(), () -> complete(session, stream, statement));
    boolean full;
    synchronized (queue) {
      full = queue.size() >= maxQueued;
      if (!full) {
        queue.add(work);
      }
    }
    if (full) {
      PostgresMessageWriter error =
          new PostgresMessageWriter().error(TOO_MANY_CONNECTIONS, "queue full");
      respond(session, stream, withState(error).ready());
    } else {
      startQueuedWork();
    }
  }

  private void runAfter(Duration duration, Runnable task) {
    Future<?> unused = executor.schedule(task, duration.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void complete(
      IoSession session,
      PostgresClientStream stream,
      Supplier<Optional<PostgresMessageWriter>> statement) {
    try {
      statement
          .get()
          .ifPresentOrElse(response -> respond(session, stream, response), () -> reset(session));
    } finally {
      synchronized (queue) {
        busyWorkers--;
      }
      startQueuedWork();
    }
  }

  private void startQueuedWork() {
    while (true) {
      Runnable next;
      synchronized (queue) {
        if (stalled || busyWorkers >= workers || queue.isEmpty()) {
          return;
        }
        busyWorkers++;
        next = queue.poll();
      }
      next.run();
    }
  }

  /** Returns the time up to which commits are visible, in nanoseconds of the clock of the run. */
  private long visibleUntil() {
    long now = clock.nanos();
    return primary ? now : Math.max(minPosition, now - lag.toNanos());
  }

  private long positionMillis() {
    return clock.unixMillis(overstatingPosition ? clock.nanos() : visibleUntil());
  }

  private PostgresMessageWriter read(String id, String key) {
    return row(store.read(clock.nanos(), id, group, name, key, visibleUntil()), SELECT_TAG);
  }

  private Optional<PostgresMessageWriter> write(
      PostgresClientStream stream, String id, String key, String value) {
    if (!primary) {
      return Optional.of(readOnlyError("cannot write on a replica"));
    }
    store.commit(clock.nanos(), id, group, name, key, value, stream.number());
    if (duplicatingWrites) {
      store.commit(clock.nanos(), id, group, name, key, value, stream.number());
    }
    return losingResponses ? Optional.empty() : Optional.of(row(value, "INSERT 0 1"));
  }

  private PostgresMessageWriter outcomeOf(String id) {
    return primary
        ? row(store.isCommitted(id) ? "done" : "not done", SELECT_TAG)
        : readOnlyError("ask the primary");
  }

  private PostgresMessageWriter readOnlyError(String text) {
    return withState(new PostgresMessageWriter().error(READ_ONLY_TRANSACTION, text)).ready();
  }

  private PostgresMessageWriter row(String value, String commandTag) {
    return withState(new PostgresMessageWriter().row(value, commandTag)).ready();
  }

  private PostgresMessageWriter withState(PostgresMessageWriter response) {
    return response
        .parameter("mode", primary ? "read-write" : "read-only")
        .parameter("wal_time", Long.toString(positionMillis()));
  }

  private void respond(
      IoSession session, PostgresClientStream stream, PostgresMessageWriter response) {
    send(session, response);
    stream.queryCompleted();
    handleMessages(session, stream);
  }

  private static void send(IoSession session, PostgresMessageWriter response) {
    session.write(IoBuffer.wrap(response.toByteArray()));
  }
}
