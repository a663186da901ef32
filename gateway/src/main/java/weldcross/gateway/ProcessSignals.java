package weldcross.gateway;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles the signals of this process. Java has no other API for them than the JDK's own, which is
 * named here and nowhere else.
 */
final class ProcessSignals {

  private ProcessSignals() {}

  /**
   * Runs an action at each signal of a kind, on a thread of its own.
   *
   * @param name of the signal without SIG, such as HUP
   * @return false if the process had been started with the signal ignored, in which case it stays
   *     ignored
   */
  static boolean handle(String name, Runnable action) {
    SignalHandler before = Signal.handle(new Signal(name), signal -> action.run());
    return before != SignalHandler.SIG_IGN;
  }
}
