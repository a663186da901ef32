package weldcross.routing;

import static weldcross.routing.Durations.inSeconds;

import java.time.Duration;

/**
 * Estimates the typical latency of each request class, and judges from it whether attempts are
 * slow, overdue or lost and whether requests can still meet their deadlines.
 */
final class LatencyEstimator {

  /** An attempt is overdue after this multiple of the typical latency. */
  private static final double OVERDUE_FACTOR = 4.5;

  /**
   * A request with less time left than this multiple of the typical latency cannot meet its
   * deadline.
   */
  private static final double MIN_REMAINING_TIME_FACTOR = 1.4;

  /** An answer is slow if it takes longer than this multiple of the typical latency. */
  private static final double SLOW_FACTOR = 3;

  /** Factor by which one answer moves an estimate that has converged. */
  private static final double STEP_RATIO = 1.05;

  /**
   * Lower bound of an estimate, so that timers derived from it are not rescheduled for the same
   * instant forever.
   */
  private static final double MIN_SECONDS = 0.001;

  /** Assumed latency of a request class without answers. */
  private static final double DEFAULT_SECONDS = 1;

  /** With fewer answers, an estimate is too uncertain to reject requests because of it. */
  private static final int MIN_SAMPLES = 5;

  private final double[] medianSeconds;
  private final int[] sampleCounts;

  LatencyEstimator(int requestClassCount) {
    this.medianSeconds = new double[requestClassCount];
    this.sampleCounts = new int[requestClassCount];
  }

  /** Returns the typical latency in seconds; positive even if no answer has been recorded. */
  double typicalSeconds(int classIndex) {
    return medianSeconds[classIndex] > 0 ? medianSeconds[classIndex] : DEFAULT_SECONDS;
  }

  /** Records the latency of a successful answer. */
  void record(int classIndex, Duration latency) {
    // Steps of a fixed ratio converge to the median. With a mean, one overloaded server would make
    // every request appear unable to meet its deadline. The first answers take larger steps, since
    // the initial estimate may be far off.
    double ratio = Math.max(STEP_RATIO, 1 + 1.0 / ++sampleCounts[classIndex]);
    double step = inSeconds(latency) < medianSeconds[classIndex] ? 1 / ratio : ratio;
    double estimate =
        medianSeconds[classIndex] == 0 ? inSeconds(latency) : medianSeconds[classIndex] * step;
    medianSeconds[classIndex] = Math.max(MIN_SECONDS, estimate);
  }

  boolean isSlow(int classIndex, Duration latency) {
    return inSeconds(latency) > SLOW_FACTOR * medianSeconds[classIndex];
  }

  /** Returns whether the request is unlikely to be answered before it expires. */
  boolean cannotMeetDeadline(Duration now, RequestState request) {
    return sampleCounts[request.classIndex] >= MIN_SAMPLES
        && inSeconds(request.expiresAt.minus(now))
            < MIN_REMAINING_TIME_FACTOR * medianSeconds[request.classIndex];
  }

  /**
   * Returns whether the answer is presumed lost, because the endpoint has answered an attempt that
   * was sent much later.
   */
  boolean isPresumedLost(Attempt attempt) {
    Duration newerBy = attempt.endpoint().lastAnsweredSentAt.minus(attempt.sentAt());
    return inSeconds(newerBy) > OVERDUE_FACTOR * typicalSeconds(attempt.request().classIndex);
  }

  boolean isOverdue(Duration now, Attempt attempt) {
    return inSeconds(now.minus(attempt.sentAt()))
        >= OVERDUE_FACTOR * typicalSeconds(attempt.request().classIndex);
  }

  /**
   * Returns when the attempt becomes overdue, by the latency that was expected when it was sent.
   */
  static Duration overdueAt(Attempt attempt) {
    return attempt.sentAt().plus(Durations.ofSeconds(OVERDUE_FACTOR * attempt.expectedSeconds()));
  }
}
