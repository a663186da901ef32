package weldcross.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import weldcross.discovery.EndpointListLease;

/**
 * The HTTP requests to one discovery address, over one connection at a time: first the complete
 * list, then one watch after another. {@link DiscoveryWatcher} decides how responses and failures
 * are handled.
 */
final class DiscoverySession {

  /** Revision of a session that has no list; the complete list is requested. */
  static final long NO_REVISION = -1;

  private static final long NO_CONNECTION = 0;

  /** Shortest timeout of a watch; zero would request a watch without a timeout. */
  private static final Duration MIN_WATCH_TIMEOUT = Duration.ofMillis(1);

  /** Limit for a round trip to discovery, in connect timeouts. */
  private static final int ROUND_TRIP_CONNECT_TIMEOUTS = 4;

  /**
   * Time limits of a session.
   *
   * @param connect limit for a connection to a server to be established
   * @param roundTrip limit for connecting to discovery, and for a response that is neither queued
   *     nor waits for changes
   * @param watch how long a watch may wait for changes
   * @param response how long a response may take beyond the wait of its request
   */
  record Timeouts(Duration connect, Duration roundTrip, Duration watch, Duration response) {

    /**
     * Derives the limits from the configuration.
     *
     * @param connect limit for a connection to a server to be established
     * @param maxPollInterval longest time that a gateway without a watch may go without a request
     * @param polled whether discovery is one service that all gateways poll
     */
    static Timeouts of(Duration connect, Duration maxPollInterval, boolean polled) {
      Duration roundTrip = connect.multipliedBy(ROUND_TRIP_CONNECT_TIMEOUTS);
      return new Timeouts(
          connect,
          roundTrip,
          EndpointListLease.watchTimeout(maxPollInterval, polled),
          EndpointListLease.responseTimeout(roundTrip, polled));
    }
  }

  /** Receives the failures of a session. */
  @FunctionalInterface
  interface FailureListener {

    /**
     * A connection was not established, or a response not received, within its time limit.
     *
     * @param session the session
     * @param reason the failure, for the log
     * @param responseTimedOut whether a response timed out, rather than a connection
     */
    void failed(DiscoverySession session, String reason, boolean responseTimedOut);
  }

  private final Gateway gateway;
  private final Transport transport;
  private final Timeouts timeouts;
  private final boolean polled;
  private final FailureListener listener;
  private final InetSocketAddress address;

  /** Revision after which the next watch requests changes, or {@link #NO_REVISION}. */
  private long revision = NO_REVISION;

  private long connection = NO_CONNECTION;
  private boolean connected;

  /** Whether a list was received on the current connection. */
  private boolean listReceived;

  /** Identifies the pending deadline; the timer of an earlier deadline has no effect. */
  private long deadlineId;

  /** Deadline of the last request to which an agent should have responded by now. */
  private long overdueDeadlineId;

  /** Deadline of the last request of whose response a part was received. */
  private long startedDeadlineId;

  /** Whether the complete list is to be requested although a revision is known. */
  private boolean completeListRequested;

  /** Whether the next watch must not wait, as the previous one may have missed changes. */
  private boolean immediateWatch;

  private int failures;

  /** When the connection was closed between two watches; null if it was not. */
  private Duration disconnectedAt;

  /**
   * Since when all responses have been older than the current list; null if the last response was
   * not older.
   */
  Duration staleSince;

  /**
   * Creates a session that is not connected.
   *
   * @param gateway provides time, timers and connection numbers
   * @param transport connects and writes
   * @param timeouts time limits of the session
   * @param polled whether discovery is one service that all gateways poll
   * @param address the address of discovery
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

  /** Returns the address as host and port, for the log and the Host header. */
  String endpoint() {
    return address.getHostString() + ":" + address.getPort();
  }

  boolean hasAddress(InetSocketAddress other) {
    return address.equals(other);
  }

  boolean hasConnection(long number) {
    return connection == number;
  }

  /** Returns whether a list was received on the current connection. */
  boolean hasReceivedList() {
    return listReceived;
  }

  // ---- Connecting

  /** Starts connecting; the watcher sends the first request after {@link #connected}. */
  void connect() {
    connected = false;
    listReceived = false;
    connection = gateway.nextConnectionId();
    transport.connectToDiscovery(connection, address);
    setDeadline(timeouts.roundTrip());
  }

  /** Reconnects after {@link #close}, unless the session is used or closed again meanwhile. */
  void connectAfter(Duration backoff) {
    long deadlineWhenClosed = deadlineId;
    gateway.schedule(
        gateway.now().plus(backoff),
        () -> {
          if (deadlineId == deadlineWhenClosed) {
            connect();
          }
        });
  }

  /** The connection was established. */
  void connected() {
    connected = true;
  }

  /** Records that the connection was closed between two watches. */
  void disconnectedBetweenWatches() {
    disconnectedAt = gateway.now();
  }

  /** Returns and clears the time of a close between two watches; null if there was none. */
  Duration takeDisconnectedAt() {
    Duration since = disconnectedAt;
    disconnectedAt = null;
    return since;
  }

  /** Closes the connection, if there is one, and cancels the pending deadline. */
  void close() {
    deadlineId++;
    // Discovery that is down receives no updates. Only lists that stay old while it responds show
    // that its revision numbers were reset.
    staleSince = null;
    transport.closeNow(connection);
    connection = NO_CONNECTION;
  }

  // ---- Requests

  /** Sends the next request; returns how long it may wait for changes. */
  Duration sendRequest() {
    boolean complete = revision < 0 || completeListRequested;
    Duration wait = Duration.ZERO;
    if (!complete) {
      wait = immediateWatch ? MIN_WATCH_TIMEOUT : timeouts.watch();
    }
    completeListRequested = false;
    immediateWatch = false;
    String query = complete ? "" : "?since=" + revision + "&timeout_ms=" + wait.toMillis();
    transport.write(connection, get("/catalog/members" + query));
    setDeadline(wait.plus(timeouts.response()));
    if (complete) {
      checkForResponseAfterConnectTimeout();
    }
    return wait;
  }

  private ByteBuffer get(String path) {
    String request =
        "GET " + path + " HTTP/1.1\r\nHost: " + endpoint() + "\r\nAccept: application/json\r\n\r\n";
    return ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Checks for a response to a request for the complete list once the connect timeout has passed,
   * as an agent that has a list responds immediately.
   */
  private void checkForResponseAfterConnectTimeout() {
    long requestDeadline = deadlineId;
    gateway.schedule(
        gateway.now().plus(timeouts.connect()),
        () -> {
          if (deadlineId == requestDeadline) {
            overdueDeadlineId = requestDeadline;
            transport.afterPendingReads(connection);
          }
        });
  }

  /** Replaces the pending deadline; the listener is called if nothing replaces this one in time. */
  private void setDeadline(Duration time) {
    long id = ++deadlineId;
    gateway.schedule(
        gateway.now().plus(time),
        () -> {
          if (deadlineId == id) {
            String reason = connected ? "response timed out" : "connect timed out";
            listener.failed(this, reason, connected);
          }
        });
  }

  /** Makes the next request one for the complete list. */
  void requestCompleteList() {
    completeListRequested = true;
  }

  /** Makes the next request one that returns without waiting, as changes may have been missed. */
  void requestMissedChanges() {
    if (polled) {
      immediateWatch = true;
    } else {
      revision = NO_REVISION;
    }
  }

  // ---- Responses

  /**
   * Returns whether no part of the response to the request for the complete list was received. To
   * be called once everything that had arrived was read.
   */
  boolean isResponseOverdue() {
    return overdueDeadlineId == deadlineId && startedDeadlineId != deadlineId;
  }

  /** Extends the deadline of the response by the time that a watch may wait. */
  void extendDeadline() {
    setDeadline(timeouts.watch());
  }

  /** Records that a part of the response was received; returns whether it was the first part. */
  boolean responseStarted() {
    if (startedDeadlineId == deadlineId) {
      return false;
    }
    startedDeadlineId = deadlineId;
    return true;
  }

  /** Records that a list was received. */
  void listReceived(long newRevision) {
    revision = newRevision;
    listReceived = true;
    failures = 0;
  }

  /** Records a response that contains no valid list; the complete list is requested next. */
  void invalidListReceived() {
    revision = NO_REVISION;
  }

  /** Counts a failure; returns the number of failures since the last list. */
  int countFailure() {
    return ++failures;
  }
}
