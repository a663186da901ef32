package weldcross.simulator;

import java.time.Duration;
import weldcross.config.ConfigValues;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.EndpointStatus;
import weldcross.routing.GroupId;
import weldcross.routing.RequestId;
import weldcross.routing.ServerId;
import weldcross.routing.SessionId;
import weldcross.routing.ZoneId;

/** A message from the simulator. Times are in microseconds on the simulator's clock. */
sealed interface SimulatorMessage {

  /** Starts a batch of events that happen at the same time. */
  record BatchStart(long clockMicros) implements SimulatorMessage {}

  /** Ends a batch; the simulator waits for a reply. */
  record BatchEnd() implements SimulatorMessage {}

  /** Starts an endpoint page, whose rows follow; it replaces any page with the same number. */
  record PageStart(int page, int rows) implements SimulatorMessage {}

  /** An event at one instance. */
  sealed interface InstanceEvent extends SimulatorMessage {
    int instance();
  }

  /**
   * The instance starts without any state.
   *
   * @param originMicros time from which replication positions count
   */
  record Start(int instance, long seed, long originMicros, ConfigValues config)
      implements InstanceEvent {}

  /** The instance is killed. */
  record Stop(int instance) implements InstanceEvent {}

  /** A request for the endpoint list failed. */
  record EndpointListFailed(int instance) implements InstanceEvent {}

  /**
   * The endpoint list, or changes of it, was received.
   *
   * @param complete whether servers that are not in the list are removed
   */
  record EndpointListReceived(int instance, boolean complete, int page) implements InstanceEvent {}

  /**
   * A client sent a request.
   *
   * @param session session of the request; null if it has none
   * @param sinceWrite time since the session's last write was committed; zero if there was none
   */
  record RequestArrival(
      int instance,
      RequestId request,
      int classIndex,
      GroupId group,
      SessionId session,
      Duration sinceWrite,
      Duration patience,
      boolean clientRetry)
      implements InstanceEvent {}

  /**
   * An attempt ended.
   *
   * @param primary whether the server reported that it is the primary; null if it reported no role
   * @param positionMillis reported replication position in ms from the origin; 0 if there is none
   * @param answered whether the client has received its final response
   * @param report load report, see {@link SimulatorMessageParser#report}; null if there is none
   */
  record AttemptEnd(
      int instance,
      RequestId request,
      int attempt,
      ServerId server,
      AttemptOutcome outcome,
      Duration took,
      Boolean primary,
      long positionMillis,
      boolean answered,
      String report)
      implements InstanceEvent {}

  /**
   * A health check ended.
   *
   * @param report load report as in {@link AttemptEnd}
   */
  record HealthCheckEnd(int instance, ServerId server, AttemptOutcome outcome, String report)
      implements InstanceEvent {}

  /** The client of the request has disconnected. */
  record ClientDisconnect(int instance, RequestId request) implements InstanceEvent {}

  /** The periodic timer is due. */
  record Tick(int instance) implements InstanceEvent {}

  /** The one-shot timer is due. */
  record TimerDue(int instance) implements InstanceEvent {}

  /** Another instance reports that it could not reach the server. */
  record GossipReceived(int instance, ServerId server) implements InstanceEvent {}

  /** An event that routers ignore. */
  record Ignored(int instance) implements InstanceEvent {}

  /**
   * A row of an endpoint page.
   *
   * @param startedMicros start time of the server process; 0 if unknown
   */
  record EndpointRow(
      ServerId server,
      ZoneId zone,
      GroupId group,
      EndpointStatus status,
      long startedMicros,
      boolean primary) {}
}
