package weldcross.chaos.load;

import com.fasterxml.jackson.annotation.JsonAlias;
import java.time.Duration;
import java.util.SplittableRandom;

/** The request classes that the clients of a chaos run use, with their settings. */
public enum RequestType {
  /** A read that sees all earlier writes of its session. */
  @JsonAlias("LOOKUP")
  SESSION_READ(
      "lookup",
      false,
      "session",
      Duration.ZERO,
      "idempotent",
      Duration.ofMillis(300),
      Duration.ofMillis(900),
      55),
  /** A read whose data may be stale within a bound. */
  @JsonAlias("BROWSE")
  BOUNDED_READ(
      "browse",
      false,
      "bounded",
      Duration.ofMillis(800),
      "idempotent",
      Duration.ofMillis(300),
      Duration.ofMillis(900),
      20),
  /** A write that must not be applied twice. */
  @JsonAlias("FILING")
  WRITE(
      "filing",
      true,
      "write",
      Duration.ZERO,
      "at_most_once",
      Duration.ofMillis(600),
      Duration.ofMillis(2000),
      25);

  private final String className;
  private final boolean write;
  private final String freshness;
  private final Duration stalenessBound;
  private final String effect;
  private final Duration latencyObjective;
  private final Duration deadline;
  private final int percentOfRequests;

  RequestType(
      String className,
      boolean write,
      String freshness,
      Duration stalenessBound,
      String effect,
      Duration latencyObjective,
      Duration deadline,
      int percentOfRequests) {
    this.className = className;
    this.write = write;
    this.freshness = freshness;
    this.stalenessBound = stalenessBound;
    this.effect = effect;
    this.latencyObjective = latencyObjective;
    this.deadline = deadline;
    this.percentOfRequests = percentOfRequests;
  }

  /**
   * Returns the name of the request class in settings and statements.
   *
   * @return the name
   */
  public String className() {
    return className;
  }

  /**
   * Returns whether requests of this class write.
   *
   * @return false for reads
   */
  public boolean isWrite() {
    return write;
  }

  /**
   * Returns the consistency that the request class needs, as named in settings.
   *
   * @return {@code session}, {@code bounded} or {@code write}
   */
  public String freshness() {
    return freshness;
  }

  /**
   * Returns the staleness bound of a bounded read.
   *
   * @return the bound; zero for other classes
   */
  public Duration stalenessBound() {
    return stalenessBound;
  }

  /**
   * Returns the effect of repeating a request, as named in settings.
   *
   * @return {@code idempotent} or {@code at_most_once}
   */
  public String effect() {
    return effect;
  }

  /**
   * Returns the time within which a response should arrive.
   *
   * @return the latency objective
   */
  public Duration latencyObjective() {
    return latencyObjective;
  }

  /**
   * Returns the deadline of a request.
   *
   * @return the time from sending
   */
  public Duration deadline() {
    return deadline;
  }

  /** Draws a type at random, weighted by its share of the requests. */
  static RequestType draw(SplittableRandom random) {
    int remainingPercent = random.nextInt(100);
    for (RequestType type : values()) {
      remainingPercent -= type.percentOfRequests;
      if (remainingPercent < 0) {
        return type;
      }
    }
    throw new IllegalStateException("the shares of all request types add up to less than 100 %");
  }
}
