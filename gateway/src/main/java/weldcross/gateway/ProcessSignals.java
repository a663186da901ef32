package weldcross.gateway;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Installs handlers for the signals of this process. Java has no standard API for signals, so all
 * uses of the JDK's internal one are in this class.
 */
final class ProcessSignals {

  private ProcessSignals() {}

  /**
   * Installs an action to run, on a separate thread, each time the process receives a signal.
   *
   * @param name the signal's name without SIG, such as HUP
   * @return false if the process was started with the signal ignored; it then remains ignored
   */
  static boolean handle(String name, Runnable action) {
    SignalHandler previous = Signal.handle(new Signal(name), signal -> action.run());
    return previous != SignalHandler.SIG_IGN;
  }
}
