package weldcross.gateway;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import weldcross.config.LoadReport;
import weldcross.routing.GroupId;
import weldcross.routing.ServerId;

/** Reads what servers report of their role and of the position of their data. */
final class ServerReports {

  private static final BigDecimal MAX_NANOS = BigDecimal.valueOf(Long.MAX_VALUE);
  private static final int NANO_DIGITS = 9;

  private static final Logger LOG = Logger.getLogger(ServerReports.class.getName());

  private final Gateway gateway;
  private final EndpointDirectory endpoints;
  private final UnixTime unixTime;

  /** Positions that lie further in the future than this are ignored. */
  private final Duration maxClockSkew;

  /** The last server of each group that reported itself to be the primary. */
  private final Map<GroupId, ServerId> primaries = new LinkedHashMap<>();

  private final RateLimitedLogger primaryLog = new RateLimitedLogger(LOG);

  ServerReports(
      Gateway gateway, EndpointDirectory endpoints, UnixTime unixTime, Duration maxClockSkew) {
    this.gateway = gateway;
    this.endpoints = endpoints;
    this.unixTime = unixTime;
    this.maxClockSkew = maxClockSkew;
  }

  /**
   * Passes a report on to the router; a report that cannot be read is ignored.
   *
   * @param pairs the report's text; null or empty where there is none
   */
  void received(ServerId server, String pairs) {
    if (pairs == null || pairs.isEmpty()) {
      return;
    }
    LoadReport report;
    try {
      report = LoadReport.read(pairs, '=');
    } catch (NumberFormatException e) {
      LOG.fine(() -> "report ignored: endpoint=" + server.name() + " report=" + pairs);
      return;
    }
    if (report.position() == null) {
      return;
    }
    BigDecimal nanos =
        report.position().movePointRight(NANO_DIGITS).setScale(0, RoundingMode.FLOOR);
    Duration position =
        position(Duration.ofNanos(nanos.max(BigDecimal.ZERO).min(MAX_NANOS).longValue()));
    if (position == null) {
      return;
    }
    noteRole(server, report.primary());
    gateway.router().reportReceived(gateway.now(), server, position, report.primary());
  }

  /**
   * Logs the role that a server reports of itself; the router may know better.
   *
   * @param primary whether it says that it is the primary; null where it says nothing
   */
  void noteRole(ServerId server, Boolean primary) {
    GroupId group = endpoints.groupOf(server);
    if (group != null
        && Boolean.TRUE.equals(primary)
        && !server.equals(primaries.put(group, server))) {
      primaryLog.log(
          gateway.now(),
          Level.INFO,
          "primary reported: group=" + group.number() + " endpoint=" + server.name());
    }
  }

  /**
   * Returns a position as time since the gateway's start, now at most; null for one too far in the
   * future, which would make its server look fresh until then.
   */
  Duration position(Duration unix) {
    Duration position = unixTime.sinceStart(unix);
    Duration now = gateway.now();
    if (position.minus(now).compareTo(maxClockSkew) > 0) {
      return null;
    }
    return position.compareTo(now) > 0 ? now : position;
  }
}
