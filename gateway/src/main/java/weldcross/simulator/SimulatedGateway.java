package weldcross.simulator;

import java.math.RoundingMode;
import java.time.Duration;
import java.util.List;
import weldcross.config.ConfigReader;
import weldcross.config.ConfigValues;
import weldcross.config.LoadReport;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.AttemptResult;
import weldcross.routing.ListedEndpoint;
import weldcross.routing.NewRequest;
import weldcross.routing.Router;
import weldcross.routing.ServerId;

/** One simulated gateway: a router, and the times on the simulator's clock that it counts from. */
final class SimulatedGateway {

  private static final int NANOS_PER_MICRO = 1000;
  private static final int MICROS_PER_MILLI = 1000;
  private static final int MICRO_DIGITS = 6;

  private final long startMicros;
  private final long originMicros;
  private Router router;
  private boolean failed;

  /**
   * Creates a gateway that has no router yet.
   *
   * @param startMicros when it starts
   * @param originMicros what positions count from
   */
  SimulatedGateway(long startMicros, long originMicros) {
    this.startMicros = startMicros;
    this.originMicros = originMicros;
  }

  void start(SimulatorActions actions, ConfigValues config, long seed) {
    router = new Router(actions, ConfigReader.routing(config), seed);
  }

  boolean hasFailed() {
    return failed;
  }

  /** Sets that its router has thrown; it gets no events from now on. */
  void setFailed() {
    failed = true;
  }

  /** Hands a list, or its changes, to the router; rows are parsed one by one on the way. */
  void receiveEndpointList(long clockMicros, boolean complete, List<WireLine> rows) {
    Duration now = sinceStart(clockMicros);
    router.beginEndpointList(now, complete);
    for (WireLine line : rows) {
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

  /** Hands to the router any event but starts, stops and received lists. */
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
      throw new IllegalArgumentException("not for a router: " + event);
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
    // An error may come for a write of a process that has died, so it does not show a live one.
    boolean alive =
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
            alive ? now.minus(end.took()) : null,
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
