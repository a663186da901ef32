package weldcross.routing;

import static weldcross.routing.Durations.inSeconds;

import java.time.Duration;

/** Estimates how long an answer takes, for each request class, and what follows from it. */
final class LatencyEstimator {

  /** An attempt is overdue after this many times the typical latency. */
  private static final double OVERDUE_FACTOR = 4.5;

  /** A request with less time left than this many times the typical latency is hopeless. */
  private static final double MIN_REMAINING_TIME_FACTOR = 1.4;

  /** An answer that takes more than this many times the typical latency is slow. */
  private static final double SLOW_FACTOR = 3;

  /** The ratio by which one answer moves an estimate that has settled. */
  private static final double STEP_RATIO = 1.05;

  /** Keeps timers that follow from an estimate from coming due in the same moment for ever. */
  private static final double MIN_SECONDS = 0.001;

  private static final double DEFAULT_SECONDS = 1;

  /** With fewer answers an estimate is too uncertain to give up a request by it. */
  private static final int MIN_SAMPLES = 5;

  private final double[] medianSeconds;
  private final int[] samples;

  LatencyEstimator(int requestClasses) {
    this.medianSeconds = new double[requestClasses];
    this.samples = new int[requestClasses];
  }

  /** Returns the typical latency in seconds, above 0 also where nothing is known. */
  double typicalSeconds(int classIndex) {
    return medianSeconds[classIndex] > 0 ? medianSeconds[classIndex] : DEFAULT_SECONDS;
  }

  /** Takes in the latency of a successful answer. */
  void record(int classIndex, Duration latency) {
    // A step of fixed ratio settles at the median; with a mean, one overloaded server would make
    // every request look hopeless. The first answers may move it far, as they can be far off.
    double ratio = Math.max(STEP_RATIO, 1 + 1.0 / ++samples[classIndex]);
    double step = inSeconds(latency) < medianSeconds[classIndex] ? 1 / ratio : ratio;
    double estimate =
        medianSeconds[classIndex] == 0 ? inSeconds(latency) : medianSeconds[classIndex] * step;
    medianSeconds[classIndex] = Math.max(MIN_SECONDS, estimate);
  }

  boolean isSlow(int classIndex, Duration latency) {
    return inSeconds(latency) > SLOW_FACTOR * medianSeconds[classIndex];
  }

  /** Whether the request could no longer be answered before it expires. */
  boolean cannotMeetDeadline(Duration now, RequestState request) {
    return samples[request.classIndex] >= MIN_SAMPLES
        && inSeconds(request.expiresAt.minus(now))
            < MIN_REMAINING_TIME_FACTOR * medianSeconds[request.classIndex];
  }

  /** Whether so much younger attempts have been answered that this one's answer must be lost. */
  boolean isPresumedLost(Attempt attempt) {
    Duration behind = attempt.endpoint().lastAnsweredSentAt.minus(attempt.sentAt());
    return inSeconds(behind) > OVERDUE_FACTOR * typicalSeconds(attempt.request().classIndex);
  }

  boolean isOverdue(Duration now, Attempt attempt) {
    return inSeconds(now.minus(attempt.sentAt()))
        >= OVERDUE_FACTOR * typicalSeconds(attempt.request().classIndex);
  }

  /** Returns when the attempt will be overdue, as expected when it was sent. */
  static Duration overdueAt(Attempt attempt) {
    return attempt.sentAt().plus(Durations.ofSeconds(OVERDUE_FACTOR * attempt.expectedSeconds()));
  }
}
