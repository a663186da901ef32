package weldcross.chaos.load;

import com.fasterxml.jackson.annotation.JsonAlias;
import java.time.Duration;

/** The request classes that clients of a run use; all that differs by class stands here. */
public enum RequestType {
  /** A read that sees all that its session wrote. */
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
  /** A read that may be stale within a bound. */
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
  /** A write that must not run twice. */
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
   * Returns its name in settings and statements.
   *
   * @return the request class
   */
  public String className() {
    return className;
  }

  /**
   * Returns whether it writes.
   *
   * @return false for reads
   */
  public boolean isWrite() {
    return write;
  }

  /**
   * Returns the freshness that it needs, as settings name it.
   *
   * @return {@code session}, {@code bounded} or {@code write}
   */
  public String freshness() {
    return freshness;
  }

  /**
   * Returns how stale the data of a bounded read may be.
   *
   * @return the bound; zero for other classes
   */
  public Duration stalenessBound() {
    return stalenessBound;
  }

  /**
   * Returns what a repeat does, as settings name it.
   *
   * @return {@code idempotent} or {@code at_most_once}
   */
  public String effect() {
    return effect;
  }

  /**
   * Returns the time within which an answer has its full value.
   *
   * @return the latency objective
   */
  public Duration latencyObjective() {
    return latencyObjective;
  }

  /**
   * Returns how long a client waits for the answer.
   *
   * @return the deadline, counted from the send
   */
  public Duration deadline() {
    return deadline;
  }

  int percentOfRequests() {
    return percentOfRequests;
  }
}
