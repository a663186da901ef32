package weldcross.routing;

import static weldcross.routing.Durations.inSeconds;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Orders the queued requests of a replica group by priority. A request's priority grows as the
 * share of its class that is served shrinks, so that no request class is starved under overload.
 */
final class AdmissionQueue {

  /**
   * Fraction of its latency objective that the oldest request may wait before the queue switches
   * from first-in, first-out to last-in, first-out.
   */
  private static final double OVERLOAD_WAIT_FRACTION = 0.25;

  /**
   * Added to the served share of a class, to bound the priority of a class that is rarely served.
   */
  private static final double SERVED_SHARE_OFFSET = 0.3;

  /** Weight of the latest request in the moving average of the served share. */
  private static final double SERVED_SHARE_GAIN = 0.05;

  /** Per request class, the moving average of the share of requests that were served. */
  private final double[] servedShare;

  AdmissionQueue(int requestClassCount) {
    this.servedShare = new double[requestClassCount];
  }

  /** Returns the queued requests in the order in which they should be dispatched. */
  List<RequestState> dispatchOrder(Duration now, ReplicaGroup group) {
    List<RequestState> order = new ArrayList<>(group.queue);
    // Under overload, oldest-first order would dispatch every request just before it is late.
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
    boolean isLate = now.compareTo(request.arrivedAt.plus(objective)) >= 0;
    return request.priorityWeight
        * (isLate ? request.requestClass.lateWeight() : 1)
        / inSeconds(objective)
        / (SERVED_SHARE_OFFSET + servedShare[request.classIndex]);
  }

  /**
   * Records the final answer of a request and removes the request from the queue if it is queued.
   */
  void recordFinished(RequestState request, boolean served) {
    int index = request.classIndex;
    servedShare[index] += SERVED_SHARE_GAIN * ((served ? 1 : 0) - servedShare[index]);
    request.group.queue.remove(request);
  }
}
