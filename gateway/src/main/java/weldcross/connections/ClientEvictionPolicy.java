package weldcross.connections;

import java.time.Duration;
import java.util.Optional;

/**
 * Chooses the client that is evicted when the connection limit is reached: the first to connect of
 * those that have sent no request; else of those that have sent one, the one idle for longest; else
 * of all, the one idle for longest, if that is at least as long as it takes to connect. Any other
 * client would only connect again.
 *
 * <p>An instance serves one choice: the owner of the clients passes all of them, in the order in
 * which they connected, then asks for the result. Decides only; not thread-safe.
 *
 * @param <C> type of the clients
 */
public final class ClientEvictionPolicy<C> {

  private final Duration now;
  private final Duration connectTimeout;

  /** The first client without a request; null if there is none. */
  private C silent;

  /** Of the clients with one request the one idle for longest; null if there is none. */
  private C oneRequest;

  private Duration oneRequestIdleSince;

  /** Of all clients the one idle for longest; null if there is none. */
  private C longestIdle;

  private Duration longestIdleSince;

  /**
   * Creates a choice.
   *
   * @param now the current time
   * @param connectTimeout how long a client may take to come back; a client that has been idle for
   *     less is not evicted
   */
  public ClientEvictionPolicy(Duration now, Duration connectTimeout) {
    this.now = now;
    this.connectTimeout = connectTimeout;
  }

  /**
   * Adds a client that is connected and not being evicted already.
   *
   * @param client the client
   * @param requests the number of requests that it has sent
   * @param idleSince since when nothing of it is in progress; null if something is
   */
  public void consider(C client, int requests, Duration idleSince) {
    if (requests == 0 && silent == null) {
      silent = client;
    }
    if (idleSince == null) {
      return;
    }
    if (requests == 1 && (oneRequest == null || idleSince.compareTo(oneRequestIdleSince) < 0)) {
      oneRequest = client;
      oneRequestIdleSince = idleSince;
    }
    if (longestIdle == null || idleSince.compareTo(longestIdleSince) < 0) {
      longestIdle = client;
      longestIdleSince = idleSince;
    }
  }

  /** Returns the client to evict; empty if all are to stay. */
  public Optional<C> choose() {
    if (silent != null) {
      return Optional.of(silent);
    }
    if (oneRequest != null) {
      return Optional.of(oneRequest);
    }
    boolean idleLongEnough =
        longestIdle != null && now.minus(longestIdleSince).compareTo(connectTimeout) >= 0;
    return idleLongEnough ? Optional.of(longestIdle) : Optional.empty();
  }
}
