package weldcross.connections;

import java.time.Duration;
import java.util.Optional;

/**
 * Chooses the client to evict when the connection limit is reached. In order of preference:
 *
 * <ol>
 *   <li>the first to connect of the clients that have sent no request;
 *   <li>the longest idle of the clients that have sent one request;
 *   <li>the longest idle of all clients, if it has been idle for at least the connect timeout; a
 *       client that was active more recently would only reconnect.
 * </ol>
 *
 * <p>An instance makes one choice: the caller adds all clients in the order in which they
 * connected, then calls {@link #choose}. Does no I/O; not thread-safe.
 *
 * @param <C> type of the clients
 */
public final class ClientEvictionPolicy<C> {

  private final Duration now;
  private final Duration connectTimeout;

  /** The first client that has sent no request; null if there is none. */
  private C firstWithoutRequest;

  /** The longest idle of the clients that have sent one request; null if there is none. */
  private C longestIdleWithOneRequest;

  private Duration oneRequestIdleSince;

  /** The longest idle of all clients; null if there is none. */
  private C longestIdle;

  private Duration longestIdleSince;

  /**
   * Creates a policy for one choice.
   *
   * @param now the current time
   * @param connectTimeout how long a client may take to reconnect; a client that has sent several
   *     requests and has been idle for less is not evicted
   */
  public ClientEvictionPolicy(Duration now, Duration connectTimeout) {
    this.now = now;
    this.connectTimeout = connectTimeout;
  }

  /**
   * Adds a client that is connected and not yet being evicted.
   *
   * @param client the client
   * @param requests the number of requests that it has sent
   * @param idleSince since when it has had no request in progress; null if it has one
   */
  public void addCandidate(C client, int requests, Duration idleSince) {
    if (requests == 0 && firstWithoutRequest == null) {
      firstWithoutRequest = client;
    }
    if (idleSince == null) {
      return;
    }
    if (requests == 1
        && (longestIdleWithOneRequest == null || idleSince.compareTo(oneRequestIdleSince) < 0)) {
      longestIdleWithOneRequest = client;
      oneRequestIdleSince = idleSince;
    }
    if (longestIdle == null || idleSince.compareTo(longestIdleSince) < 0) {
      longestIdle = client;
      longestIdleSince = idleSince;
    }
  }

  /** Returns the client to evict; empty if no client is to be evicted. */
  public Optional<C> choose() {
    if (firstWithoutRequest != null) {
      return Optional.of(firstWithoutRequest);
    }
    if (longestIdleWithOneRequest != null) {
      return Optional.of(longestIdleWithOneRequest);
    }
    boolean idleLongEnough =
        longestIdle != null && now.minus(longestIdleSince).compareTo(connectTimeout) >= 0;
    return idleLongEnough ? Optional.of(longestIdle) : Optional.empty();
  }
}
