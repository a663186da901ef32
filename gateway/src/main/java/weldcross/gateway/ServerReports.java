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

/** Processes what servers report about their role and their replication position. */
final class ServerReports {

  private static final BigDecimal MAX_NANOS = BigDecimal.valueOf(Long.MAX_VALUE);
  private static final int NANO_DIGITS = 9;

  private static final Logger LOG = Logger.getLogger(ServerReports.class.getName());

  private final Gateway gateway;
  private final EndpointDirectory endpoints;
  private final UnixTime unixTime;

  /** Positions further in the future than this are ignored. */
  private final Duration maxClockSkew;

  /** For each group, the server that last reported itself as primary. */
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
   * Passes a load report on to the router; a malformed report is ignored.
   *
   * @param pairs the report as key-value pairs; null or empty if there is none
   */
  void loadReportReceived(ServerId server, String pairs) {
    if (pairs == null || pairs.isEmpty()) {
      return;
    }
    LoadReport report;
    try {
      report = LoadReport.read(pairs, '=');
    } catch (NumberFormatException e) {
      LOG.fine(
          () -> "malformed load report ignored: endpoint=" + server.name() + " report=" + pairs);
      return;
    }
    if (report.position() == null) {
      return;
    }
    BigDecimal nanos =
        report.position().movePointRight(NANO_DIGITS).setScale(0, RoundingMode.FLOOR);
    Duration position =
        positionSinceStart(Duration.ofNanos(nanos.max(BigDecimal.ZERO).min(MAX_NANOS).longValue()));
    if (position == null) {
      return;
    }
    recordRole(server, report.primary());
    gateway.router().reportReceived(gateway.now(), server, position, report.primary());
  }

  /**
   * Logs a change of the server that reports itself as primary. The router may have decided for
   * another one.
   *
   * @param primary whether the server reports that it is the primary; null if it reports no role
   */
  void recordRole(ServerId server, Boolean primary) {
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
   * Converts a position from Unix time to time since the gateway's start, capped at the current
   * time. Returns null for a position too far in the future, which would make its server look fresh
   * until then.
   */
  Duration positionSinceStart(Duration unixPosition) {
    Duration position = unixTime.sinceStart(unixPosition);
    Duration now = gateway.now();
    if (position.minus(now).compareTo(maxClockSkew) > 0) {
      return null;
    }
    return position.compareTo(now) > 0 ? now : position;
  }
}
