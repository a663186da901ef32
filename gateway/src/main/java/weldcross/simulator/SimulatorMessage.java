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

/** What the simulator sends. Times are in microseconds on its clock. */
sealed interface SimulatorMessage {

  /** A batch of events begins, all of which happen at the same time. */
  record BatchStart(long clockMicros) implements SimulatorMessage {}

  /** The batch is complete and a reply is due. */
  record BatchEnd() implements SimulatorMessage {}

  /** An endpoint page begins, whose rows follow; it replaces the one of the same number. */
  record PageStart(int page, int rows) implements SimulatorMessage {}

  /** An event at one instance. */
  sealed interface InstanceEvent extends SimulatorMessage {
    int instance();
  }

  /**
   * The instance starts, without any state.
   *
   * @param originMicros what positions count from
   */
  record Start(int instance, long seed, long originMicros, ConfigValues config)
      implements InstanceEvent {}

  /** The instance is killed. */
  record Stop(int instance) implements InstanceEvent {}

  /** A call for the endpoint list failed. */
  record EndpointListFailed(int instance) implements InstanceEvent {}

  /**
   * The endpoint list, or changes of it.
   *
   * @param complete whether servers that it does not name are removed
   */
  record EndpointListReceived(int instance, boolean complete, int page) implements InstanceEvent {}

  /**
   * A client sent a request.
   *
   * @param session null where it has none
   * @param sinceWrite how long ago the session's last write was committed; zero if there was none
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
   * @param primary whether the server said it is the primary; null where it did not say
   * @param positionMillis the position that it named, in ms from the origin; 0 where it named none
   * @param answered whether the client has its final answer by this
   * @param report the load report, see {@link SimulatorMessageParser#report}; null where none came
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
   * @param report as for {@link AttemptEnd}
   */
  record HealthCheckEnd(int instance, ServerId server, AttemptOutcome outcome, String report)
      implements InstanceEvent {}

  /** The client of the request does not wait any longer. */
  record ClientDisconnect(int instance, RequestId request) implements InstanceEvent {}

  /** The periodic timer is due. */
  record Tick(int instance) implements InstanceEvent {}

  /** The one-shot timer is due. */
  record TimerDue(int instance) implements InstanceEvent {}

  /** Another instance could not reach the server. */
  record GossipReceived(int instance, ServerId server) implements InstanceEvent {}

  /** An event that the routers take no notice of. */
  record Ignored(int instance) implements InstanceEvent {}

  /**
   * One row of an endpoint page.
   *
   * @param startedMicros when its process started; 0 where that is not known
   */
  record EndpointRow(
      ServerId server,
      ZoneId zone,
      GroupId group,
      EndpointStatus status,
      long startedMicros,
      boolean primary) {}
}
