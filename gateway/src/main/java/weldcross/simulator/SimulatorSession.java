package weldcross.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import weldcross.config.ConfigReader;
import weldcross.config.ConfigValues;
import weldcross.config.LoadReport;
import weldcross.gossip.GossipMessage;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.EndpointStatus;
import weldcross.routing.GroupId;
import weldcross.routing.RequestId;
import weldcross.routing.Router;
import weldcross.routing.ServerId;
import weldcross.routing.SessionId;
import weldcross.routing.ZoneId;

/** Reads the bench's batches, calls the instances' routers, and writes one reply a batch. */
public final class SimulatorSession {

  /** A line that is not of the wire. */
  public static final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1;

    ProtocolException(String message) {
      super(message);
    }
  }

  /** One gateway: its router and the two clock times that its Durations are counted from. */
  private static final class Instance {
    Router router;
    long startMicros;
    long originMicros;
    boolean broken;
  }

  private final BufferedReader in;
  private final OutputStream out;
  private final StringBuilder reply = new StringBuilder();
  private final Map<Integer, Instance> instances = new HashMap<>();
  private final Map<Integer, String[][]> pages = new HashMap<>();
  private long clock;

  public SimulatorSession(InputStream in, OutputStream out) {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    this.out = out;
  }

  public void run() throws IOException {
    boolean open = false;
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (line.isEmpty() && !open) {
        continue;
      }
      String[] parts = split(line);
      try {
        if (parts[0].equals("BATCH")) {
          clock = Long.parseLong(parts[1]);
          open = true;
        } else if (!open) {
          throw new ProtocolException("outside a batch: " + line);
        } else if (parts[0].equals("YOUR_TURN")) {
          reply.append("YIELD\n");
          out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
          out.flush();
          reply.setLength(0);
          open = false;
        } else if (parts[0].equals("ROSTER")) {
          roster(parts);
        } else {
          event(parts, line);
        }
      } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
        throw new ProtocolException("malformed line: " + line);
      }
    }
    if (open) {
      throw new ProtocolException("input ended inside a batch");
    }
  }

  private void roster(String[] parts) throws IOException {
    String[][] rows = new String[Integer.parseInt(parts[2])][];
    for (int k = 0; k < rows.length; k++) {
      String line = in.readLine();
      if (line == null || !line.startsWith("ROW ")) {
        throw new ProtocolException("a ROW was expected: " + line);
      }
      rows[k] = split(line);
    }
    pages.put(Integer.parseInt(parts[1]), rows);
  }

  private void event(String[] parts, String line) {
    int number = Integer.parseInt(parts[1]);
    if (parts[0].equals("INIT")) {
      instances.put(number, new Instance());
    }
    Instance instance = instances.get(number);
    if (instance == null || instance.broken) {
      return;
    }
    Runnable call = decode(parts, line, number, instance);
    try {
      call.run();
    } catch (RuntimeException e) {
      instance.broken = true;
      StackTraceElement at = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : null;
      reply
          .append("PANIC ")
          .append(number)
          .append(' ')
          .append(e.toString().replace('\n', ' '))
          .append(" at ")
          .append(at)
          .append('\n');
      e.printStackTrace();
    }
  }

  private Runnable decode(String[] p, String line, int number, Instance to) {
    Duration now = since(to, clock);
    switch (p[0]) {
      case "INIT":
        ConfigValues told = ConfigValues.ofPairs(p, 3);
        to.startMicros = clock;
        to.originMicros = ConfigReader.originMicros(told);
        long seed = Long.parseUnsignedLong(p[2]);
        SimulatorActions host = new SimulatorActions(reply, number, clock);
        return () -> to.router = new Router(host, ConfigReader.service(told), seed);
      case "STOP":
        return () -> instances.remove(number);
      case "DIRECTORY_UPDATE":
        if (p[2].equals("failed")) {
          return () -> to.router.endpointListFailed(now);
        }
        String[][] rows = pages.get(Integer.parseInt(p[4]));
        if (rows == null) {
          throw new ProtocolException("no such list page: " + line);
        }
        boolean whole = !p[2].equals("delta");
        return () -> list(to, now, whole, rows);
      case "ARRIVAL":
        Duration sinceWrite = absent(p[3]) ? Duration.ZERO : micros(p[3], 1000, RoundingMode.FLOOR);
        int bits = absent(p[10]) ? 0 : Integer.parseInt(p[10]);
        int method = Integer.parseInt(p[5]);
        Duration patience = micros(p[6], 1, RoundingMode.FLOOR);
        SessionId session = absent(p[7]) ? null : new SessionId(p[7]);
        GroupId group = new GroupId(new BigDecimal(p[8]).intValue());
        return () ->
            to.router.requestArrived(
                now,
                new RequestId(p[2]),
                method,
                group,
                session,
                sinceWrite,
                patience,
                (bits & 2) != 0);
      case "SETTLED":
        long note = absent(p[5]) ? 0 : Long.parseLong(p[5]);
        Boolean primary = (note & 3) == 0 ? null : Boolean.valueOf((note & 3) == 1);
        Duration pos = note >> 2 == 0 ? null : since(to, to.originMicros + (note >> 2) * 1000);
        AttemptOutcome outcome = outcome(p[6]);
        int attempt = Integer.parseInt(p[7]);
        boolean ended = p[8].equals("1");
        Duration took = micros(p[4], 1, RoundingMode.FLOOR);
        return () -> {
          to.router.attemptEnded(
              now,
              new RequestId(p[2]),
              attempt,
              new ServerId(p[3]),
              outcome,
              took,
              answered(outcome) ? now.minus(took) : null,
              primary,
              pos,
              ended);
          report(to, now, new ServerId(p[3]), p[9]);
        };
      case "ECHO":
        return () -> {
          to.router.healthCheckEnded(
              now,
              new ServerId(p[4]),
              p[3].equals("pass") ? AttemptOutcome.OK : AttemptOutcome.TIMED_OUT,
              null);
          report(to, now, new ServerId(p[4]), p[5]);
        };
      case "CLIENT_LEFT":
        return () -> to.router.clientDisconnected(now, new RequestId(p[2]));
      case "ALARM":
        return p[2].equals(SimulatorActions.TIMER)
            ? () -> to.router.tick(now)
            : () -> to.router.timersDue(now);
      case "INBOX":
        ServerId named = peerWord(p[3]);
        return named == null ? () -> {} : () -> to.router.gossipReceived(now, named);
      case "UNDER_WAY":
        return () -> {};
      default:
        throw new ProtocolException("unknown message: " + line);
    }
  }

  private void list(Instance to, Duration now, boolean whole, String[][] rows) {
    to.router.beginEndpointList(now, whole);
    for (String[] r : rows) {
      EndpointStatus condition =
          switch (r[5]) {
            case "on" -> EndpointStatus.ACTIVE;
            case "fading" -> EndpointStatus.DRAINING;
            case "off" -> EndpointStatus.REMOVED;
            default -> throw new ProtocolException("unknown condition: " + r[5]);
          };
      long ready = absent(r[7]) ? 0 : Long.parseLong(r[7]);
      to.router.endpointListed(
          now,
          new ServerId(r[1]),
          new ZoneId(Integer.parseInt(r[2])),
          new GroupId(new BigDecimal(r[4]).intValue()),
          condition,
          ready == 0 ? null : since(to, ready),
          !absent(r[8]) && r[8].equals("1"));
    }
    to.router.endEndpointList(now);
  }

  private static void report(Instance to, Duration now, ServerId server, String pairs) {
    if (absent(pairs)) {
      return;
    }
    LoadReport report = LoadReport.read(pairs, ':');
    if (report.position() != null) {
      long micros = report.position().movePointRight(6).setScale(0, RoundingMode.FLOOR).longValue();
      to.router.reported(now, server, since(to, to.originMicros + micros), report.primary());
    }
  }

  /**
   * Who answers has lived since it was asked; errors come for writes of a process that has died as
   * well.
   */
  private static boolean answered(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.OK || outcome == AttemptOutcome.INELIGIBLE;
  }

  private static AttemptOutcome outcome(String code) {
    return switch (code) {
      case "pass" -> AttemptOutcome.OK;
      case "fault" -> AttemptOutcome.ERROR;
      case "no_room" -> AttemptOutcome.OVERLOADED;
      case "too_slow" -> AttemptOutcome.TIMED_OUT;
      case "no_route" -> AttemptOutcome.UNREACHABLE;
      case "cut" -> AttemptOutcome.CONNECTION_LOST;
      case "undone" -> AttemptOutcome.CANCELLED;
      case "stale_send" -> AttemptOutcome.NOT_SENT;
      case "none_here" -> AttemptOutcome.INELIGIBLE;
      default -> throw new ProtocolException("unknown outcome: " + code);
    };
  }

  private static Duration since(Instance to, long clockMicros) {
    return Duration.ofNanos((clockMicros - to.startMicros) * 1000);
  }

  private static Duration micros(String value, long scale, RoundingMode rounding) {
    if (value.indexOf('.') < 0 && value.indexOf('e') < 0) {
      return Duration.ofNanos(Long.parseLong(value) * scale * 1000);
    }
    return Duration.ofNanos(
        new BigDecimal(value).multiply(BigDecimal.valueOf(scale)).setScale(0, rounding).longValue()
            * 1000);
  }

  private static ServerId peerWord(String hex) {
    try {
      return GossipMessage.decode(HexFormat.of().parseHex(hex));
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private static boolean absent(String value) {
    return value.equals("-");
  }

  private static String[] split(String line) {
    int parts = 1;
    for (int k = line.indexOf(' '); k >= 0; k = line.indexOf(' ', k + 1)) {
      parts++;
    }
    String[] result = new String[parts];
    int from = 0;
    for (int k = 0; k < parts; k++) {
      int to = k == parts - 1 ? line.length() : line.indexOf(' ', from);
      result[k] = line.substring(from, to);
      from = to + 1;
    }
    return result;
  }
}
