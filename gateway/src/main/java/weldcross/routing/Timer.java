package weldcross.routing;

/** A timer that has been scheduled. */
public interface Timer {

  /** A timer that does nothing. */
  Timer NONE = () -> {};

  /**
   * Removes the timer with all that it refers to; does nothing if it has run or was cancelled. What
   * has ended should not stay in memory until its timers are due.
   */
  void cancel();
}
