package weldcross.gateway;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A request of a gateway to discovery.
 *
 * @param since revision after which changes are requested; {@link #NO_REVISION} for the complete
 *     list
 * @param waitMillis how long the request may wait for changes
 */
record DiscoveryRequest(int since, int waitMillis) {

  private static final int NO_REVISION = -1;

  private static final Pattern HTTP_REQUEST =
      Pattern.compile("GET /catalog/members(\\?since=(\\d+)&timeout_ms=(\\d+))? HTTP[\\s\\S]*");

  /** Parses the bytes received on a connection; returns nothing if they contain no request. */
  static Optional<DiscoveryRequest> parse(CharSequence received) {
    Matcher matcher = HTTP_REQUEST.matcher(received);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        matcher.group(1) == null
            ? new DiscoveryRequest(NO_REVISION, 0)
            : new DiscoveryRequest(
                Integer.parseInt(matcher.group(2)), Integer.parseInt(matcher.group(3))));
  }

  /** Returns whether this is a watch, rather than a request for the complete list. */
  boolean isWatch() {
    return since >= 0;
  }
}
