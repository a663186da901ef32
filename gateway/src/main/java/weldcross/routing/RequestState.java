package weldcross.routing;

import static weldcross.routing.Durations.earlier;
import static weldcross.routing.Durations.inSeconds;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import weldcross.routing.RequestClass.Consistency;

/** A request from its arrival until its final answer and the end of its last attempt. */
final class RequestState {

  /** What still waits is answered this long before its client gives up, not in the same moment. */
  private static final Duration MAX_ANSWER_MARGIN = Duration.ofMillis(25);

  private static final int ANSWER_MARGIN_DIVISOR = 8;

  /**
   * A request not sent by this share of its time is rejected, while its client has time to retry.
   */
  private static final double FIRST_SEND_FRACTION = 0.45;

  /** The latency objective runs from the client's first try, so a retry is worth less. */
  private static final double CLIENT_RETRY_WEIGHT = 0.3;

  final RequestId id;
  final int classIndex;
  final RequestClass requestClass;
  final ReplicaGroup group;
  final SessionId session;

  /** The commit that the client says its session must see; null where it names none. */
  final Duration clientToken;

  final double priorityWeight;
  final Duration arrivedAt;

  /** Attempts end here. */
  final Duration expiresAt;

  /** Nothing is sent from here on. */
  final Duration sendDeadline;

  /** Without any attempt by then the request is given up. */
  final Duration firstSendDeadline;

  /** Uniform in [0, 1), drawn once so that asking again does not raise the chance. */
  final double slowStartSample;

  final List<Attempt> attempts = new ArrayList<>();
  final Set<EndpointState> triedEndpoints = new LinkedHashSet<>();
  int attemptsInFlight;
  boolean mayHaveExecuted;
  boolean finished;
  boolean clientDisconnected;

  /**
   * Creates the state of a request that has just arrived.
   *
   * @param deadline when the client gives up
   * @param clientRetry whether the client has sent the same before
   * @param clientToken null where there is none
   */
  RequestState(
      RequestId id,
      int classIndex,
      RequestClass requestClass,
      ReplicaGroup group,
      SessionId session,
      Duration clientToken,
      boolean clientRetry,
      Duration arrivedAt,
      Duration deadline,
      double slowStartSample) {
    this.id = id;
    this.classIndex = classIndex;
    this.requestClass = requestClass;
    this.group = group;
    this.session = session;
    this.clientToken = clientToken;
    this.priorityWeight = requestClass.priorityWeight() * (clientRetry ? CLIENT_RETRY_WEIGHT : 1);
    this.arrivedAt = arrivedAt;
    this.slowStartSample = slowStartSample;
    Duration timeout = deadline.minus(arrivedAt);
    // Where a late answer is worth nothing, servers should drop the work at the objective.
    this.expiresAt =
        requestClass.lateWeight() > 0
            ? deadline
            : earlier(arrivedAt.plus(requestClass.latencyObjective()), deadline);
    Duration margin = earlier(MAX_ANSWER_MARGIN, timeout.dividedBy(ANSWER_MARGIN_DIVISOR));
    this.sendDeadline = earlier(expiresAt, deadline.minus(margin));
    Duration firstSend = Durations.ofSeconds(FIRST_SEND_FRACTION * inSeconds(timeout));
    this.firstSendDeadline = earlier(sendDeadline, arrivedAt.plus(firstSend));
  }

  boolean isWrite() {
    return requestClass.consistency() == Consistency.WRITE;
  }

  boolean isIdempotent() {
    return requestClass.idempotency() == RequestClass.Idempotency.IDEMPOTENT;
  }
}
