package weldcross.chaos.load;

import java.time.Duration;

/**
 * The methods that trials call, as gateways are told of them. What differs by method stands here.
 */
public enum Method {
  /** Sees all that its session wrote. */
  LOOKUP(
      "lookup",
      false,
      "session",
      Duration.ZERO,
      "idempotent",
      Duration.ofMillis(300),
      Duration.ofMillis(900),
      55),
  /** May be behind by a bound. */
  BROWSE(
      "browse",
      false,
      "bounded",
      Duration.ofMillis(800),
      "idempotent",
      Duration.ofMillis(300),
      Duration.ofMillis(900),
      20),
  /** May never run twice. */
  FILING(
      "filing",
      true,
      "write",
      Duration.ZERO,
      "at_most_once",
      Duration.ofMillis(600),
      Duration.ofMillis(2000),
      25);

  public final String word;
  public final boolean write;
  public final String need;
  public final Duration bound;
  public final String effect;
  public final Duration soft;
  public final Duration deadline;

  /** Of a hundred. */
  public final int share;

  Method(
      String word,
      boolean write,
      String need,
      Duration bound,
      String effect,
      Duration soft,
      Duration deadline,
      int share) {
    this.word = word;
    this.write = write;
    this.need = need;
    this.bound = bound;
    this.effect = effect;
    this.soft = soft;
    this.deadline = deadline;
    this.share = share;
  }
}
