package weldcross.routing;

import static weldcross.routing.Durations.earlier;
import static weldcross.routing.Durations.inSeconds;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import weldcross.routing.RequestClass.Consistency;

/**
 * The state of a request, from its arrival until it has its final answer and its last attempt has
 * ended.
 */
final class RequestState {

  /**
   * Maximum margin between the answer to a request that is given up and the client's own timeout.
   */
  private static final Duration MAX_ANSWER_MARGIN = Duration.ofMillis(25);

  /** The margin is at most the client's timeout divided by this. */
  private static final int ANSWER_MARGIN_DIVISOR = 8;

  /**
   * A request that was not sent within this fraction of its timeout is rejected, so that the client
   * has time to retry.
   */
  private static final double FIRST_SEND_FRACTION = 0.45;

  /**
   * Factor on the priority weight of a client's retry: the latency objective counts from the first
   * request of the client, so a retry is worth less.
   */
  private static final double CLIENT_RETRY_WEIGHT = 0.3;

  final RequestId id;
  final int classIndex;
  final RequestClass requestClass;
  final ReplicaGroup group;
  final SessionId session;

  /** The commit position that the client requires its session to observe; null if there is none. */
  final Duration clientToken;

  final double priorityWeight;
  final Duration arrivedAt;

  /** When attempts time out. */
  final Duration expiresAt;

  /** No attempt is sent after this. */
  final Duration sendDeadline;

  /** The request is given up if no attempt was sent by this time. */
  final Duration firstSendDeadline;

  /**
   * Uniform random sample in [0, 1) for probabilistic admission during slow start. Sampled once per
   * request, so that repeated admission checks do not raise the probability.
   */
  final double slowStartSample;

  final List<Attempt> attempts = new ArrayList<>();

  /** Endpoints that the request was sent to and is not sent to again until this is cleared. */
  final Set<EndpointState> triedEndpoints = new LinkedHashSet<>();

  /** The timer that gives the request up if no attempt was sent. */
  Timer firstSendTimer = Timer.NONE;

  /** The timer that gives the request up if it is not answered. */
  Timer sendDeadlineTimer = Timer.NONE;

  /** Per attempt number, the timer that checks whether the attempt is overdue. */
  final List<Timer> overdueTimers = new ArrayList<>(1);

  int attemptsInFlight;
  boolean mayHaveExecuted;
  boolean finished;
  boolean clientDisconnected;

  /**
   * Creates the state of a request that has just arrived.
   *
   * @param clientToken the commit position that the client requires; null if there is none
   * @param clientRetry whether the client has sent the same request before
   * @param deadline when the client times out
   * @param slowStartSample see {@link #slowStartSample}
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
    // If late answers have no value, servers should stop working on the request at the objective.
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
