package weldcross.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import weldcross.discovery.EndpointListLease;

/**
 * The requests to one address of discovery, over one connection at a time: the complete list first,
 * then one watch after the other. {@link DiscoveryWatcher} decides what the answers and failures
 * mean.
 */
final class DiscoverySession {

  /** Stands for no revision: the complete list is requested. */
  static final long NO_REVISION = -1;

  /** Number of no connection. */
  private static final long NO_CONNECTION = 0;

  /** Shortest time for which a watch may wait; zero would stand for a watch without a limit. */
  private static final Duration MIN_WATCH_TIMEOUT = Duration.ofMillis(1);

  /** A connection to discovery, and an answer that does not wait, may take this many timeouts. */
  private static final int CONNECT_TIMEOUTS_OF_GRACE = 4;

  /**
   * Time limits of the requests.
   *
   * @param connect limit for a connection to a server to come up
   * @param grace limit for a connection to discovery, and for an answer that does not wait
   * @param watch for how long a watch may wait for changes
   * @param answer how long an answer may take beyond the wait of its request
   */
  record Timeouts(Duration connect, Duration grace, Duration watch, Duration answer) {

    /**
     * Derives the limits from the configuration.
     *
     * @param connect limit for a connection to a server to come up
     * @param maxPollInterval longest time that a gateway without a watch may go without a request
     * @param polled whether discovery is one service that all gateways poll
     */
    static Timeouts of(Duration connect, Duration maxPollInterval, boolean polled) {
      Duration grace = connect.multipliedBy(CONNECT_TIMEOUTS_OF_GRACE);
      return new Timeouts(
          connect,
          grace,
          EndpointListLease.watchTimeout(maxPollInterval, polled),
          EndpointListLease.answerTimeout(grace, polled));
    }
  }

  /** Receives the failures of a session. */
  @FunctionalInterface
  interface FailureListener {

    /**
     * Something that was expected of the session did not come.
     *
     * @param session the session
     * @param reason what did not come, for the log
     * @param timedOut whether an answer timed out, rather than a connection
     */
    void failed(DiscoverySession session, String reason, boolean timedOut);
  }

  private final Gateway gateway;
  private final Transport transport;
  private final Timeouts timeouts;
  private final boolean polled;
  private final FailureListener listener;
  private final InetSocketAddress address;

  /** Revision from which the next watch goes on, or {@link #NO_REVISION}. */
  private long revision = NO_REVISION;

  private long connection = NO_CONNECTION;
  private boolean connected;

  /** Whether the current connection has had an answer. */
  private boolean answered;

  /** Counts what is expected of discovery; a timeout that was set for an earlier number is void. */
  private long expectation;

  /** The request that an agent would have answered by now; zero if there is none. */
  private long overdueExpectation;

  /** The last request of which some of the answer has arrived. */
  private long startedExpectation;

  /** Whether the complete list is to be requested in spite of a known revision. */
  private boolean completeListRequested;

  /** Whether the next watch must not wait, as the one before it may have missed changes. */
  private boolean immediateWatch;

  private int failures;

  /** When the connection ended between two watches; null if it is open. */
  private Duration disconnectedAt;

  /**
   * Since when, without interruption, all answers have been older than the current list; null if
   * the last one was not.
   */
  Duration behindSince;

  /**
   * Creates a session that is not connected.
   *
   * @param gateway provides time, timers and numbers of connections
   * @param transport connects and writes
   * @param timeouts limits of the requests
   * @param polled whether discovery is one service that all gateways poll
   * @param address where discovery is
   * @param listener receives failures
   */
  DiscoverySession(
      Gateway gateway,
      Transport transport,
      Timeouts timeouts,
      boolean polled,
      InetSocketAddress address,
      FailureListener listener) {
    this.gateway = gateway;
    this.transport = transport;
    this.timeouts = timeouts;
    this.polled = polled;
    this.address = address;
    this.listener = listener;
  }

  /** Returns the address, for the log and the Host header. */
  String endpoint() {
    return address.getHostString() + ":" + address.getPort();
  }

  boolean isAt(InetSocketAddress other) {
    return address.equals(other);
  }

  boolean hasConnection(long number) {
    return connection == number;
  }

  boolean isAnswered() {
    return answered;
  }

  // ---- Connecting

  /** Connects; the first request follows with {@link #connected}. */
  void connect() {
    connected = false;
    answered = false;
    connection = gateway.nextConnectionId();
    transport.connectToDiscovery(connection, address);
    expectWithin(timeouts.grace());
  }

  /** Connects again after {@link #close}, unless something else happens in the meantime. */
  void connectAfter(Duration backoff) {
    long closed = expectation;
    gateway.schedule(
        gateway.now().plus(backoff),
        () -> {
          if (expectation == closed) {
            connect();
          }
        });
  }

  /** The connection came up. */
  void connected() {
    connected = true;
  }

  /** Notes that the connection ended between two watches. */
  void disconnectedBetweenWatches() {
    disconnectedAt = gateway.now();
  }

  /** Returns when the connection ended between two watches, and forgets it; null if it did not. */
  Duration takeDisconnectedAt() {
    Duration since = disconnectedAt;
    disconnectedAt = null;
    return since;
  }

  /** Closes the connection, if there is one; nothing is expected of it any more. */
  void close() {
    expectation++;
    // An address that is down learns nothing: only while it answers does being behind show that it
    // counts anew.
    behindSince = null;
    transport.closeNow(connection);
    connection = NO_CONNECTION;
  }

  // ---- Requests

  /** Sends the next request; returns for how long it may wait for changes. */
  Duration request() {
    boolean complete = revision < 0 || completeListRequested;
    Duration wait = Duration.ZERO;
    if (!complete) {
      wait = immediateWatch ? MIN_WATCH_TIMEOUT : timeouts.watch();
    }
    completeListRequested = false;
    immediateWatch = false;
    String query = complete ? "" : "?since=" + revision + "&timeout_ms=" + wait.toMillis();
    transport.write(connection, get("/catalog/members" + query));
    expectWithin(wait.plus(timeouts.answer()));
    if (complete) {
      checkForAnswerAfterConnectTimeout();
    }
    return wait;
  }

  private ByteBuffer get(String path) {
    String request =
        "GET " + path + " HTTP/1.1\r\nHost: " + endpoint() + "\r\nAccept: application/json\r\n\r\n";
    return ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII));
  }

  /** An agent that has a list answers at once, so no answer in this time is worth a look. */
  private void checkForAnswerAfterConnectTimeout() {
    long expected = expectation;
    gateway.schedule(
        gateway.now().plus(timeouts.connect()),
        () -> {
          if (expectation == expected) {
            overdueExpectation = expectation;
            transport.afterPendingReads(connection);
          }
        });
  }

  private void expectWithin(Duration time) {
    long expected = ++expectation;
    gateway.schedule(
        gateway.now().plus(time),
        () -> {
          if (expectation == expected) {
            listener.failed(this, connected ? "no answer in time" : "cannot connect", connected);
          }
        });
  }

  /** Requests the complete list the next time. */
  void requestCompleteList() {
    completeListRequested = true;
  }

  /** Notes that changes may have been missed: the next request asks what answers them at once. */
  void changesMissed() {
    if (polled) {
      immediateWatch = true;
    } else {
      revision = NO_REVISION;
    }
  }

  // ---- Answers

  /**
   * Returns whether the request for the complete list is unanswered though everything that has
   * arrived was read.
   */
  boolean isAnswerOverdue() {
    return overdueExpectation == expectation && startedExpectation != expectation;
  }

  /** Waits for the answer as long as a watch does. */
  void waitOn() {
    expectWithin(timeouts.watch());
  }

  /** Notes that some of the answer has arrived; returns false if that was known. */
  boolean answerStarted() {
    if (startedExpectation == expectation) {
      return false;
    }
    startedExpectation = expectation;
    return true;
  }

  /** Notes a list with its revision. */
  void answered(long newRevision) {
    revision = newRevision;
    answered = true;
    failures = 0;
  }

  /** Notes an answer that is no list. */
  void answerInvalid() {
    revision = NO_REVISION;
  }

  /** Counts a failure; returns how many there were since the last answer. */
  int countFailure() {
    return ++failures;
  }
}
