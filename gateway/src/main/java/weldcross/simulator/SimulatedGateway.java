package weldcross.simulator;

import java.math.RoundingMode;
import java.time.Duration;
import java.util.List;
import weldcross.config.ConfigValues;
import weldcross.config.LoadReport;
import weldcross.config.RoutingConfigReader;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.AttemptResult;
import weldcross.routing.ListedEndpoint;
import weldcross.routing.NewRequest;
import weldcross.routing.Router;
import weldcross.routing.ServerId;

/** A simulated gateway: a router and the offsets of its times on the simulator's clock. */
final class SimulatedGateway {

  private static final int NANOS_PER_MICRO = 1000;
  private static final int MICROS_PER_MILLI = 1000;
  private static final int MICRO_DIGITS = 6;

  private final long startMicros;
  private final long originMicros;
  private Router router;
  private boolean failed;

  /**
   * Creates a gateway without a router.
   *
   * @param startMicros start time of the gateway on the simulator's clock
   * @param originMicros time on the simulator's clock from which replication positions count
   */
  SimulatedGateway(long startMicros, long originMicros) {
    this.startMicros = startMicros;
    this.originMicros = originMicros;
  }

  void start(SimulatorActions actions, ConfigValues config, long seed) {
    router = new Router(actions, RoutingConfigReader.read(config), seed);
  }

  boolean hasFailed() {
    return failed;
  }

  /** Marks the gateway as failed because its router has thrown; it gets no further events. */
  void markFailed() {
    failed = true;
  }

  /** Passes an endpoint list, or changes of it, to the router; each row is parsed on demand. */
  void receiveEndpointList(long clockMicros, boolean complete, List<ProtocolLine> rows) {
    Duration now = sinceStart(clockMicros);
    router.beginEndpointList(now, complete);
    for (ProtocolLine line : rows) {
      SimulatorMessage.EndpointRow row = SimulatorMessageParser.parseRow(line);
      router.endpointListed(
          now,
          new ListedEndpoint(
              row.server(),
              row.zone(),
              row.group(),
              row.status(),
              row.startedMicros() == 0 ? null : sinceStart(row.startedMicros()),
              row.primary()));
    }
    router.endEndpointList(now);
  }

  /** Passes an event to the router; starts, stops and endpoint lists are handled elsewhere. */
  void handle(long clockMicros, SimulatorMessage.InstanceEvent event) {
    Duration now = sinceStart(clockMicros);
    if (event instanceof SimulatorMessage.RequestArrival arrival) {
      requestArrived(now, arrival);
    } else if (event instanceof SimulatorMessage.AttemptEnd end) {
      attemptEnded(now, end);
    } else if (event instanceof SimulatorMessage.TimerDue) {
      router.timersDue(now);
    } else if (event instanceof SimulatorMessage.Tick) {
      router.tick(now);
    } else if (event instanceof SimulatorMessage.HealthCheckEnd end) {
      router.healthCheckEnded(now, end.server(), end.outcome(), null);
      reported(now, end.server(), end.report());
    } else if (event instanceof SimulatorMessage.ClientDisconnect disconnect) {
      router.clientDisconnected(now, disconnect.request());
    } else if (event instanceof SimulatorMessage.GossipReceived gossip) {
      router.gossipReceived(now, gossip.server());
    } else if (event instanceof SimulatorMessage.EndpointListFailed) {
      router.endpointListFailed(now);
    } else if (!(event instanceof SimulatorMessage.Ignored)) {
      throw new IllegalArgumentException("not a router event: " + event);
    }
  }

  private void requestArrived(Duration now, SimulatorMessage.RequestArrival arrival) {
    router.requestArrived(
        now,
        new NewRequest(
            arrival.request(),
            arrival.classIndex(),
            arrival.group(),
            arrival.session(),
            arrival.sinceWrite(),
            arrival.patience(),
            arrival.clientRetry()));
  }

  private void attemptEnded(Duration now, SimulatorMessage.AttemptEnd end) {
    // An error may be returned for a write to a crashed process, so it does not prove liveness.
    boolean serverAlive =
        end.outcome() == AttemptOutcome.OK || end.outcome() == AttemptOutcome.INELIGIBLE;
    Duration position =
        end.positionMillis() == 0
            ? null
            : sinceStart(originMicros + end.positionMillis() * MICROS_PER_MILLI);
    router.attemptEnded(
        now,
        new AttemptResult(
            end.request(),
            end.attempt(),
            end.outcome(),
            end.took(),
            serverAlive ? now.minus(end.took()) : null,
            end.primary(),
            position,
            end.answered()));
    reported(now, end.server(), end.report());
  }

  private void reported(Duration now, ServerId server, String text) {
    if (text == null) {
      return;
    }
    LoadReport report = SimulatorMessageParser.report(text);
    if (report.position() != null) {
      long micros =
          report
              .position()
              .movePointRight(MICRO_DIGITS)
              .setScale(0, RoundingMode.FLOOR)
              .longValue();
      router.reportReceived(now, server, sinceStart(originMicros + micros), report.primary());
    }
  }

  private Duration sinceStart(long clockMicros) {
    return Duration.ofNanos((clockMicros - startMicros) * NANOS_PER_MICRO);
  }
}
