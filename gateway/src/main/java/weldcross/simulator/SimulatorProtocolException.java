package weldcross.simulator;

/** Input that does not follow the simulator's wire. */
public final class SimulatorProtocolException extends RuntimeException {

  private static final long serialVersionUID = 1;

  /**
   * Creates an exception.
   *
   * @param fault what is wrong, with the value at fault
   * @param line where: the text of the line; null at the end of the input
   */
  SimulatorProtocolException(String fault, String line) {
    super(line == null ? fault : fault + ": " + line);
  }
}
