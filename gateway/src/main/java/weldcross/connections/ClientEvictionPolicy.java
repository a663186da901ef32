package weldcross.connections;

import java.time.Duration;

/**
 * Who makes room in a crowd of clients: whoever has asked nothing yet, the first to have come; then
 * who asked once and stayed, then who has rested for a dial's time, the longest idle of each. The
 * others would only come back. Called by the owner of the clients with each of them in the order of
 * their coming; pure.
 */
public final class ClientEvictionPolicy<C> {

  private final Duration now;
  private final Duration dial;
  private C silent, once, longest;
  private Duration onceSince, longestSince;

  /**
   * @param dial how long it takes to come back, so that a rest that was shorter is not worth ending
   */
  public ClientEvictionPolicy(Duration now, Duration dial) {
    this.now = now;
    this.dial = dial;
  }

  /**
   * One that is open and is not about to lose its connection.
   *
   * @param asks what it has asked so far
   * @param idleSince null while something of it is open
   */
  public void one(C client, int asks, Duration idleSince) {
    if (asks == 0 && silent == null) {
      silent = client;
    }
    if (idleSince == null) {
      return;
    }
    if (asks == 1 && (once == null || idleSince.compareTo(onceSince) < 0)) {
      once = client;
      onceSince = idleSince;
    }
    if (longest == null || idleSince.compareTo(longestSince) < 0) {
      longest = client;
      longestSince = idleSince;
    }
  }

  /** Who goes; null where nobody does. */
  public C whoGoes() {
    return silent != null
        ? silent
        : once != null
            ? once
            : longest != null && now.minus(longestSince).compareTo(dial) >= 0 ? longest : null;
  }
}
