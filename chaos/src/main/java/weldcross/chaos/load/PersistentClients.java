package weldcross.chaos.load;

import java.io.EOFException;
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
 * Clients that each keep to one gateway and send on their connection for as long as it stays open,
 * whatever the gateway is told. They connect anew only while that is allowed.
 */
public final class PersistentClients implements AutoCloseable {

  /** A later answer counts as none. */
  public static final Duration LATE_LIMIT = Duration.ofMillis(500);

  private static final int MAX_PAUSE_MILLIS = 40;
  private static final long RECONNECT_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long CLIENT_STACK_BYTES = 192 << 10;
  private static final int HUNDRED = 100;

  private final List<InetSocketAddress> gateways;
  private final LongSupplier clock;
  private final String idPrefix;
  private final AtomicIntegerArray connectForbidden;

  /**
   * Counts the processes of each gateway: a process knows the writes that it has answered itself.
   */
  private final AtomicIntegerArray processes;

  private final List<Thread> clients = new ArrayList<>();
  private final List<ClientOperation> operations = new ArrayList<>();
  private final List<String> unexpectedMessages = new ArrayList<>();
  private final List<String> writtenKeys = new ArrayList<>();
  private volatile boolean stopping;
  private long lastId;

  /**
   * Creates clients that send nothing yet.
   *
   * @param gateways where each gateway listens, in the order of their numbers
   * @param clientsPerGateway above zero
   * @param clock nanoseconds since the load began
   * @param seed of all that is drawn
   */
  public PersistentClients(
      List<InetSocketAddress> gateways, int clientsPerGateway, LongSupplier clock, long seed) {
    this.gateways = List.copyOf(gateways);
    this.clock = clock;
    this.idPrefix = String.format("%08x", (int) seed);
    this.connectForbidden = new AtomicIntegerArray(gateways.size());
    this.processes = new AtomicIntegerArray(gateways.size());
    SplittableRandom random = new SplittableRandom(seed);
    for (int number = 0; number < clientsPerGateway * gateways.size(); number++) {
      Client client = new Client(number, number % gateways.size(), random.split());
      writtenKeys.add(client.key);
      Thread thread = new Thread(null, client, "client-" + number, CLIENT_STACK_BYTES);
      thread.setDaemon(true);
      clients.add(thread);
    }
  }

  /** Has all clients send from now on. */
  public void start() {
    clients.forEach(Thread::start);
  }

  /**
   * Forbids new connections to a gateway; open ones are used on.
   *
   * @param gateway its number
   */
  public void forbidConnecting(int gateway) {
    connectForbidden.set(gateway, 1);
  }

  /**
   * Has clients connect to the new process of a gateway. Session reads need not see what clients
   * wrote through the process before it.
   *
   * @param gateway its number
   */
  public void processStarted(int gateway) {
    processes.incrementAndGet(gateway);
    connectForbidden.set(gateway, 0);
  }

  /**
   * Sends nothing new, and returns once all open requests have an outcome.
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
   * Returns all operations with an outcome so far.
   *
   * @return a copy, in the order of their outcomes
   */
  public synchronized List<ClientOperation> operations() {
    return List.copyOf(operations);
  }

  /**
   * Returns what came on connections beyond the answers.
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

  /** What became of one request, as {@link ClientOperation} has it. */
  private record Result(Outcome outcome, String value, String detail) {}

  /** One client, which has one request open at a time and writes a key of its own. */
  private final class Client implements Runnable {
    private final String key;
    private final int gateway;
    private final SplittableRandom random;
    private GatewayConnection connection;
    private String lastWrite = "";

    /** The process of the gateway that answered the last write. */
    private int lastWriteProcess;

    Client(int number, int gateway, SplittableRandom random) {
      this.key = "c" + number;
      this.gateway = gateway;
      this.random = random;
    }

    @Override
    public void run() {
      while (!stopping) {
        if (isConnected()) {
          request();
          LockSupport.parkNanos(
              TimeUnit.MILLISECONDS.toNanos(1 + random.nextInt(MAX_PAUSE_MILLIS)));
        } else {
          LockSupport.parkNanos(RECONNECT_PAUSE_NANOS);
        }
      }
      disconnect();
    }

    /** Whether there is a connection that the gateway has not ended; connects if it may. */
    private boolean isConnected() {
      if (connection != null) {
        GatewayConnection.IdleCheck check = connection.checkIdle();
        if (check.state() == GatewayConnection.IdleState.QUIET) {
          return true;
        }
        noteUnexpected(check);
        disconnect();
      }
      if (connectForbidden.get(gateway) == 0) {
        try {
          connection = new GatewayConnection(gateways.get(gateway));
        } catch (IOException e) {
          // Nobody listens there, for the moment.
        }
      }
      return connection != null;
    }

    private void noteUnexpected(GatewayConnection.IdleCheck check) {
      if (check.state() == GatewayConnection.IdleState.UNEXPECTED) {
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

    private RequestType drawType() {
      int draw = random.nextInt(HUNDRED);
      for (RequestType type : RequestType.values()) {
        draw -= type.percentOfRequests();
        if (draw < 0) {
          return type;
        }
      }
      return RequestType.SESSION_READ;
    }

    private void request() {
      RequestType type = drawType();
      boolean ofOthers = type == RequestType.BOUNDED_READ;
      String name = ofOthers ? writtenKeys.get(random.nextInt(writtenKeys.size())) : key;
      String id = nextId();
      int process = processes.get(gateway);
      String after = lastWriteProcess == process ? lastWrite : "";
      long sent = clock.getAsLong();
      Result result;
      try {
        connection.send(RequestStatement.of(type, id, name, 0));
        sent = clock.getAsLong();
        result = awaitResult(sent + type.deadline().plus(LATE_LIMIT).toNanos());
      } catch (SocketTimeoutException e) {
        result = new Result(Outcome.TIMED_OUT, "", "");
        disconnect();
      } catch (IOException e) {
        // One that was never greeted was closed before anything of it was read.
        Outcome outcome = connection.isGreeted() ? Outcome.CONNECTION_CLOSED : Outcome.NOT_SENT;
        boolean inOrder = e instanceof EOFException;
        result =
            new Result(
                outcome,
                "",
                inOrder ? ClientOperation.ENDED_IN_ORDER : String.valueOf(e.getMessage()));
        disconnect();
      }
      if (result.outcome == Outcome.OK && type.isWrite()) {
        lastWrite = id;
        lastWriteProcess = process;
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
      GatewayConnection.Answer answer = connection.awaitAnswer(deadline, clock);
      String errorCode = answer.errorCode().orElse("");
      if (!answer.reusable()) {
        disconnect();
      }
      Outcome outcome = answer.errorCode().isEmpty() ? Outcome.OK : Outcome.ofError(errorCode);
      return new Result(outcome, answer.value(), errorCode);
    }
  }
}
