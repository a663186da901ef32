package weldcross.simulator;

import java.time.Duration;
import java.util.HexFormat;
import weldcross.config.ConfigValues;
import weldcross.config.LoadReport;
import weldcross.config.RoutingConfigReader;
import weldcross.gossip.GossipMessage;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.EndpointStatus;
import weldcross.routing.GroupId;
import weldcross.routing.RequestId;
import weldcross.routing.ServerId;
import weldcross.routing.SessionId;
import weldcross.routing.ZoneId;

/**
 * Parses lines of the simulator protocol. The endpoint list is sent in pages: a ROSTER line starts
 * a page, and its rows follow; a DIRECTORY_UPDATE event then refers to the page by its number. The
 * comments on the parsing methods list the fields of a line in order, starting with field 1; a
 * field in parentheses is not used.
 */
final class SimulatorMessageParser {

  private static final int CONFIG_FIELD = 3;
  private static final int ONE_MICRO = 1;
  private static final int MICROS_PER_MILLI = 1000;
  private static final int CLIENT_RETRY_BIT = 2;

  /** The low bits of the server state hold the role of the server, the others its position. */
  private static final int ROLE_MASK = 3;

  private static final int ROLE_PRIMARY = 1;
  private static final int ROLE_BITS = 2;

  private SimulatorMessageParser() {}

  /** Returns the instance to which an event is addressed; null if the message is not an event. */
  static Integer targetInstance(ProtocolLine line) {
    return switch (line.messageType()) {
      case "BATCH", "YOUR_TURN", "ROSTER" -> null;
      default -> line.integer(1);
    };
  }

  /** Returns whether the line starts an instance. */
  static boolean isStart(ProtocolLine line) {
    return line.messageType().equals("INIT");
  }

  /**
   * Parses a line that is not a row of an endpoint page.
   *
   * @throws SimulatorProtocolException if the line is malformed or its message type is unknown
   */
  static SimulatorMessage parse(ProtocolLine line) {
    return switch (line.messageType()) {
      case "BATCH" -> new SimulatorMessage.BatchStart(line.longInteger(1));
      case "YOUR_TURN" -> new SimulatorMessage.BatchEnd();
      case "ROSTER" -> new SimulatorMessage.PageStart(line.integer(1), line.integer(2));
      case "INIT" -> start(line);
      case "STOP" -> new SimulatorMessage.Stop(line.integer(1));
      case "DIRECTORY_UPDATE" -> endpointList(line);
      case "ARRIVAL" -> requestArrival(line);
      case "SETTLED" -> attemptEnd(line);
      case "ECHO" -> healthCheckEnd(line);
      case "CLIENT_LEFT" ->
          new SimulatorMessage.ClientDisconnect(line.integer(1), new RequestId(line.field(2)));
      case "ALARM" ->
          line.field(2).equals(SimulatorActions.TICK_NAME)
              ? new SimulatorMessage.Tick(line.integer(1))
              : new SimulatorMessage.TimerDue(line.integer(1));
      case "INBOX" -> gossip(line);
      // Fields: instance, request. Not needed, as the router itself tracks its requests.
      case "UNDER_WAY" -> new SimulatorMessage.Ignored(line.integer(1));
      default -> throw line.error("unknown message type");
    };
  }

  /** Fields of INIT: instance, seed, then keys and values of the configuration. */
  private static SimulatorMessage start(ProtocolLine line) {
    try {
      ConfigValues config = ConfigValues.ofPairs(line.fields(), CONFIG_FIELD);
      return new SimulatorMessage.Start(
          line.integer(1), line.unsignedLong(2), RoutingConfigReader.originMicros(config), config);
    } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
      throw line.error("malformed settings: " + e.getMessage());
    }
  }

  /** Fields of DIRECTORY_UPDATE: instance, kind, (unused), page. */
  private static SimulatorMessage endpointList(ProtocolLine line) {
    return switch (line.field(2)) {
      case "failed" -> new SimulatorMessage.EndpointListFailed(line.integer(1));
      case "delta" ->
          new SimulatorMessage.EndpointListReceived(line.integer(1), false, line.integer(4));
      default -> new SimulatorMessage.EndpointListReceived(line.integer(1), true, line.integer(4));
    };
  }

  /**
   * Fields of ARRIVAL: instance, request, milliseconds since the last write of the session,
   * (unused), request class, timeout in microseconds, session, replica group, (unused), flags.
   */
  private static SimulatorMessage requestArrival(ProtocolLine line) {
    int flags = line.isAbsent(10) ? 0 : line.integer(10);
    return new SimulatorMessage.RequestArrival(
        line.integer(1),
        new RequestId(line.field(2)),
        line.integer(5),
        new GroupId(line.integerPart(8)),
        line.isAbsent(7) ? null : new SessionId(line.field(7)),
        line.isAbsent(3) ? Duration.ZERO : line.duration(3, MICROS_PER_MILLI),
        line.duration(6, ONE_MICRO),
        (flags & CLIENT_RETRY_BIT) != 0);
  }

  /**
   * Fields of SETTLED: instance, request, server, elapsed microseconds, server state, outcome,
   * attempt number, whether the client has received its final response, load report.
   */
  private static SimulatorMessage attemptEnd(ProtocolLine line) {
    long serverState = line.isAbsent(5) ? 0 : line.longInteger(5);
    long role = serverState & ROLE_MASK;
    Boolean primary = role == 0 ? null : Boolean.valueOf(role == ROLE_PRIMARY);
    return new SimulatorMessage.AttemptEnd(
        line.integer(1),
        new RequestId(line.field(2)),
        line.integer(7),
        new ServerId(line.field(3)),
        outcome(line, 6),
        line.duration(4, ONE_MICRO),
        primary,
        serverState >> ROLE_BITS,
        line.flag(8),
        line.isAbsent(9) ? null : line.field(9));
  }

  /** Fields of ECHO: instance, (unused), outcome, server, load report. */
  private static SimulatorMessage healthCheckEnd(ProtocolLine line) {
    AttemptOutcome outcome =
        line.field(3).equals("pass") ? AttemptOutcome.OK : AttemptOutcome.TIMED_OUT;
    return new SimulatorMessage.HealthCheckEnd(
        line.integer(1),
        new ServerId(line.field(4)),
        outcome,
        line.isAbsent(5) ? null : line.field(5));
  }

  /** Fields of INBOX: instance, (unused), gossip message in hex. */
  private static SimulatorMessage gossip(ProtocolLine line) {
    ServerId server = gossipedServer(line.field(3));
    return server == null
        ? new SimulatorMessage.Ignored(line.integer(1))
        : new SimulatorMessage.GossipReceived(line.integer(1), server);
  }

  /** Decodes a gossip message; returns null if it is not a message of this program. */
  private static ServerId gossipedServer(String hex) {
    try {
      return GossipMessage.decode(HexFormat.of().parseHex(hex));
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private static AttemptOutcome outcome(ProtocolLine line, int index) {
    return switch (line.field(index)) {
      case "pass" -> AttemptOutcome.OK;
      case "fault" -> AttemptOutcome.ERROR;
      case "no_room" -> AttemptOutcome.OVERLOADED;
      case "too_slow" -> AttemptOutcome.TIMED_OUT;
      case "no_route" -> AttemptOutcome.UNREACHABLE;
      case "cut" -> AttemptOutcome.CONNECTION_LOST;
      case "undone" -> AttemptOutcome.CANCELLED;
      case "stale_send" -> AttemptOutcome.NOT_SENT;
      case "none_here" -> AttemptOutcome.INELIGIBLE;
      default -> throw line.error("unknown outcome: " + line.field(index));
    };
  }

  /** Returns whether the line is a row of an endpoint page. */
  static boolean isRow(String line) {
    return line != null && line.startsWith("ROW ");
  }

  /**
   * Parses a row of an endpoint page. Fields of ROW: server, zone, (unused), replica group, status,
   * (unused), start time of the server process in microseconds, whether it is the primary.
   *
   * @throws SimulatorProtocolException if the row is malformed
   */
  static SimulatorMessage.EndpointRow parseRow(ProtocolLine row) {
    EndpointStatus status =
        switch (row.field(5)) {
          case "on" -> EndpointStatus.ACTIVE;
          case "fading" -> EndpointStatus.DRAINING;
          case "off" -> EndpointStatus.REMOVED;
          default -> throw row.error("unknown status: " + row.field(5));
        };
    return new SimulatorMessage.EndpointRow(
        new ServerId(row.field(1)),
        new ZoneId(row.integer(2)),
        new GroupId(row.integerPart(4)),
        status,
        row.isAbsent(7) ? 0 : row.longInteger(7),
        row.flag(8));
  }

  /** Parses the load report of a response or a health check. */
  static LoadReport report(String text) {
    return LoadReport.read(text, ':');
  }
}
