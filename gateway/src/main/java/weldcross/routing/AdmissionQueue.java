package weldcross.routing;

import static weldcross.routing.Durations.inSeconds;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Orders the queued requests of a group by priority: the worth of a server's time, higher for
 * classes of which little is served, so that no class pays for all others in overload.
 */
final class AdmissionQueue {

  /** Once the oldest request has waited this share of its objective, the newest goes first. */
  private static final double OVERLOAD_WAIT_FRACTION = 0.25;

  /** Bounds how much a class gains by being served little. */
  private static final double SERVED_SHARE_OFFSET = 0.3;

  private static final double SERVED_SHARE_GAIN = 0.05;

  /** For each request class the share of recent requests that were answered. */
  private final double[] servedShare;

  AdmissionQueue(int requestClasses) {
    this.servedShare = new double[requestClasses];
  }

  /** Returns the queued requests in the order in which endpoints should be sought for them. */
  List<RequestState> dispatchOrder(Duration now, ReplicaGroup group) {
    List<RequestState> order = new ArrayList<>(group.queue);
    // In overload the oldest first would mean that each request goes out when it is almost late.
    if (!order.isEmpty() && isOverloaded(now, order.get(0))) {
      Collections.reverse(order);
    }
    order.sort(Comparator.comparingDouble(request -> -priority(now, request)));
    return order;
  }

  private static boolean isOverloaded(Duration now, RequestState oldest) {
    return inSeconds(now.minus(oldest.arrivedAt))
        > OVERLOAD_WAIT_FRACTION * inSeconds(oldest.requestClass.latencyObjective());
  }

  private double priority(Duration now, RequestState request) {
    Duration objective = request.requestClass.latencyObjective();
    boolean late = now.compareTo(request.arrivedAt.plus(objective)) >= 0;
    return request.priorityWeight
        * (late ? request.requestClass.lateWeight() : 1)
        / inSeconds(objective)
        / (SERVED_SHARE_OFFSET + servedShare[request.classIndex]);
  }

  /** Takes in the final answer of a request, which leaves the queue if it is in it. */
  void recordFinished(RequestState request, boolean served) {
    int index = request.classIndex;
    servedShare[index] += SERVED_SHARE_GAIN * ((served ? 1 : 0) - servedShare[index]);
    request.group.queue.remove(request);
  }
}
