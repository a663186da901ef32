package weldcross.gateway;

import java.util.function.Consumer;
import java.util.function.IntFunction;

/** Messages of a client that are received but not started, each of which is owed a response. */
final class WaitingMessages {

  private final int maxPerStart;
  private final IntFunction<Consumer<PipelinedRequest>> startOf;
  private int count;

  private WaitingMessages(
      int count, int maxPerStart, IntFunction<Consumer<PipelinedRequest>> startOf) {
    this.count = count;
    this.maxPerStart = maxPerStart;
    this.startOf = startOf;
  }

  /**
   * Returns a single message.
   *
   * @param start starts it; is passed the request that takes the response
   */
  static WaitingMessages single(Consumer<PipelinedRequest> start) {
    return new WaitingMessages(1, 1, count -> start);
  }

  /**
   * Returns messages that are answered together.
   *
   * @param count the number of messages, positive
   * @param startOf returns what starts a number of them, at most that of a {@link RepeatedResponse}
   */
  static WaitingMessages alike(int count, IntFunction<Consumer<PipelinedRequest>> startOf) {
    return new WaitingMessages(count, RepeatedResponse.MAX_PER_BUFFER, startOf);
  }

  /** Returns the number of messages that are left. */
  int count() {
    return count;
  }

  /** Removes the next messages that are started together; returns what starts them. */
  Consumer<PipelinedRequest> takeNext() {
    int taken = Math.min(count, maxPerStart);
    count -= taken;
    return startOf.apply(taken);
  }
}
