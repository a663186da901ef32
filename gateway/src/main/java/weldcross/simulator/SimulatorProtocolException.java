package weldcross.simulator;

/** Thrown if the input violates the simulator protocol. */
public final class SimulatorProtocolException extends RuntimeException {

  private static final long serialVersionUID = 1;

  /**
   * Creates an exception.
   *
   * @param error description of the error, including the invalid value
   * @param line text of the line; null at the end of the input
   */
  SimulatorProtocolException(String error, String line) {
    super(line == null ? error : error + ": " + line);
  }
}
