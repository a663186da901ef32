package weldcross.shared;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Whether the shared store is worth asking. {@link Knowledge} tells how each ask ended and asks
 * before the next.
 *
 * <p>Against a store that is slow or gone: each RPC that waits for it would wait in vain. It
 * catches one that answers errors as well. It could harm where single asks are lost to chance, so
 * that two in a row are wanted. While away, one ask at a time is a trial, ever more rarely and at a
 * moment of each gateway's own, as all of them lost it at once.
 */
public final class StoreHealth {

  /** Named states of what is known of the store. */
  public enum State {
    UNTRIED,
    UP,
    DOUBTED,
    AWAY
  }

  private static final Duration FIRST_GAP = Duration.ofMillis(200);
  private static final Duration LONGEST_GAP = Duration.ofSeconds(8);

  private final SplittableRandom dice;
  private State state = State.UNTRIED;
  private Duration gap = FIRST_GAP;
  private Duration trialAt = Duration.ZERO;
  private boolean trying;

  public StoreHealth(SplittableRandom dice) {
    this.dice = dice;
  }

  public State state() {
    return state;
  }

  /**
   * Whether anything may be asked at this moment; where the store is away, only by way of a trial.
   */
  public boolean mayAsk(Duration now) {
    return state != State.AWAY || !trying && now.compareTo(trialAt) >= 0;
  }

  /** Whether what RPCs wait for may be asked: only of a store that answered last. */
  public boolean isTrusted() {
    return state == State.UP || state == State.DOUBTED;
  }

  /** When a trial is due; null where the store is not away or one is out. */
  public Duration trialAt() {
    return state == State.AWAY && !trying ? trialAt : null;
  }

  public void asked() {
    trying |= state == State.AWAY;
  }

  /**
   * True if the store is back from being away, or answers for the first time: it may know nothing.
   */
  public boolean answered() {
    boolean back = state == State.AWAY || state == State.UNTRIED;
    state = State.UP;
    trying = false;
    gap = FIRST_GAP;
    return back;
  }

  /**
   * It answered too late, not at all, or an error.
   *
   * @param lost its connection is gone, which one alone proves
   * @return true if it is away from now on
   */
  public boolean failed(Duration now, boolean lost) {
    boolean away = lost || state != State.UP;
    boolean first = away && state != State.AWAY;
    if (!away) {
      state = State.DOUBTED;
      return false;
    }
    if (first || trying) {
      trialAt = now.plus(gap).plusNanos(dice.nextLong(gap.toNanos()));
      gap = gap.multipliedBy(2).compareTo(LONGEST_GAP) < 0 ? gap.multipliedBy(2) : LONGEST_GAP;
    }
    trying = false;
    state = State.AWAY;
    return first;
  }
}
