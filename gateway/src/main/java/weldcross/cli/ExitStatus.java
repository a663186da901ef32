package weldcross.cli;

/** Exit statuses of the process. */
final class ExitStatus {

  /** The command succeeded. */
  static final int OK = 0;

  /** The configuration or the simulator's input is invalid. */
  static final int INVALID_CONFIG = 1;

  /** A gateway did not respond to a command or rejected it. */
  static final int FAILED = 1;

  /** The command line is invalid. */
  static final int USAGE = 2;

  private ExitStatus() {}
}
