package weldcross.chaos.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import weldcross.chaos.load.ClientOperation.Outcome;

/**
 * Clients that each stay with one gateway and send requests on one connection for as long as it is
 * open, even while the gateway drains. They reconnect only while that is allowed.
 */
public final class PersistentClients implements AutoCloseable {

  /** How long after the deadline a client still waits for a response. */
  public static final Duration RESPONSE_GRACE_PERIOD = Duration.ofMillis(500);

  private static final int MAX_PAUSE_MILLIS = 40;
  private static final long RECONNECT_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long CLIENT_STACK_BYTES = 192 << 10;

  private final List<InetSocketAddress> gateways;
  private final LongSupplier clock;
  private final String idPrefix;
  private final AtomicIntegerArray connectForbidden;

  /**
   * The number of restarts of each gateway. A gateway process knows the position of a session only
   * from the writes that it acknowledged itself.
   */
  private final AtomicIntegerArray restarts;

  private final List<Thread> clients = new ArrayList<>();
  private final List<ClientOperation> operations = new ArrayList<>();
  private final List<String> unexpectedMessages = new ArrayList<>();
  private final List<String> writtenKeys = new ArrayList<>();
  private volatile boolean stopping;
  private long lastId;

  /**
   * Creates the clients without starting them.
   *
   * @param gateways the address of each gateway, by gateway number
   * @param clientsPerGateway the number of clients of each gateway, above zero
   * @param clock nanoseconds since the start of the load
   * @param seed the seed of all random choices
   */
  public PersistentClients(
      List<InetSocketAddress> gateways, int clientsPerGateway, LongSupplier clock, long seed) {
    this.gateways = List.copyOf(gateways);
    this.clock = clock;
    this.idPrefix = String.format("%08x", (int) seed);
    this.connectForbidden = new AtomicIntegerArray(gateways.size());
    this.restarts = new AtomicIntegerArray(gateways.size());
    SplittableRandom random = new SplittableRandom(seed);
    for (int number = 0; number < clientsPerGateway * gateways.size(); number++) {
      Client client = new Client(number, number % gateways.size(), random.split());
      writtenKeys.add(client.key);
      Thread thread = new Thread(null, client, "client-" + number, CLIENT_STACK_BYTES);
      thread.setDaemon(true);
      clients.add(thread);
    }
  }

  /** Starts all clients. */
  public void start() {
    clients.forEach(Thread::start);
  }

  /**
   * Forbids new connections to a gateway; open connections stay in use.
   *
   * @param gateway the gateway number
   */
  public void forbidConnecting(int gateway) {
    connectForbidden.set(gateway, 1);
  }

  /**
   * Allows clients to connect to the new process of a restarted gateway. Session reads are no
   * longer expected to see writes that the previous process acknowledged.
   *
   * @param gateway the gateway number
   */
  public void processStarted(int gateway) {
    restarts.incrementAndGet(gateway);
    connectForbidden.set(gateway, 0);
  }

  /**
   * Stops sending and waits until all open requests have an outcome.
   *
   * @throws InterruptedException if the calling thread is interrupted
   */
  public void stop() throws InterruptedException {
    stopping = true;
    for (Thread client : clients) {
      client.join();
    }
  }

  @Override
  public void close() {
    stopping = true;
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

  private synchronized String nextId() {
    return idPrefix + String.format("%08x", ++lastId);
  }

  private synchronized void record(ClientOperation operation) {
    operations.add(operation);
  }

  /** The result of one request, with the components of {@link ClientOperation}. */
  private record Result(Outcome outcome, String value, String detail) {}

  /** One client, with one request open at a time and a key that only this client writes. */
  private final class Client implements Runnable {
    private final String key;
    private final int gateway;
    private final SplittableRandom random;
    private GatewayConnection connection;
    private String lastWrite = "";

    /** The restart count of the gateway when it acknowledged the last write. */
    private int lastWriteRestarts;

    Client(int number, int gateway, SplittableRandom random) {
      this.key = "c" + number;
      this.gateway = gateway;
      this.random = random;
    }

    @Override
    public void run() {
      while (!stopping) {
        if (ensureConnected()) {
          sendRequest();
          LockSupport.parkNanos(
              TimeUnit.MILLISECONDS.toNanos(1 + random.nextInt(MAX_PAUSE_MILLIS)));
        } else {
          LockSupport.parkNanos(RECONNECT_PAUSE_NANOS);
        }
      }
      disconnect();
    }

    /** Returns whether there is an open connection; connects first if that is allowed. */
    private boolean ensureConnected() {
      if (connection != null) {
        GatewayConnection.IdleCheck check = connection.checkIdle();
        if (check.state() == GatewayConnection.IdleState.USABLE) {
          return true;
        }
        recordUnexpected(check);
        disconnect();
      }
      if (connectForbidden.get(gateway) == 0) {
        try {
          connection = new GatewayConnection(gateways.get(gateway));
        } catch (IOException e) {
          // The gateway is not listening at the moment; the next iteration tries again.
        }
      }
      return connection != null;
    }

    private void recordUnexpected(GatewayConnection.IdleCheck check) {
      if (check.state() == GatewayConnection.IdleState.UNEXPECTED_DATA) {
        synchronized (PersistentClients.this) {
          unexpectedMessages.add(check.unexpected());
        }
      }
    }

    private void disconnect() {
      if (connection != null) {
        connection.close();
        connection = null;
      }
    }

    private void sendRequest() {
      RequestType type = RequestType.draw(random);
      boolean readsAnyKey = type == RequestType.BOUNDED_READ;
      String target = readsAnyKey ? writtenKeys.get(random.nextInt(writtenKeys.size())) : key;
      String id = nextId();
      int gatewayRestarts = restarts.get(gateway);
      String after = lastWriteRestarts == gatewayRestarts ? lastWrite : "";
      long sent = clock.getAsLong();
      Result result;
      try {
        connection.send(RequestStatement.of(type, id, target, 0));
        sent = clock.getAsLong();
        result = awaitResult(sent + type.deadline().plus(RESPONSE_GRACE_PERIOD).toNanos());
      } catch (SocketTimeoutException e) {
        result = new Result(Outcome.TIMED_OUT, "", "");
        disconnect();
      } catch (IOException e) {
        // If the startup was never answered, the gateway closed the connection before it read any
        // request.
        Outcome outcome =
            connection.isStartupCompleted() ? Outcome.CONNECTION_CLOSED : Outcome.NOT_SENT;
        result = new Result(outcome, "", ClientOperation.detailOf(e));
        disconnect();
      }
      if (result.outcome == Outcome.OK && type.isWrite()) {
        lastWrite = id;
        lastWriteRestarts = gatewayRestarts;
      }
      record(
          new ClientOperation(
              id,
              key,
              type,
              0,
              "n" + gateway,
              sent,
              clock.getAsLong(),
              result.outcome,
              result.value,
              result.detail,
              after));
    }

    private Result awaitResult(long deadline) throws IOException {
      GatewayConnection.Response response = connection.awaitResponse(deadline, clock);
      String errorCode = response.errorCode().orElse("");
      if (!response.reusable()) {
        disconnect();
      }
      Outcome outcome = response.errorCode().isEmpty() ? Outcome.OK : Outcome.ofError(errorCode);
      return new Result(outcome, response.value(), errorCode);
    }
  }
}
