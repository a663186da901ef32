package weldcross.cli;

/** Exit statuses of the commands. */
final class ExitStatus {

  /** The command did what was asked. */
  static final int OK = 0;

  /** The configuration cannot be used, or an input of the simulator. */
  static final int INVALID_CONFIG = 1;

  /** A gateway did not answer a command, or rejected it. */
  static final int FAILED = 1;

  /** The command line cannot be used. */
  static final int USAGE = 2;

  private ExitStatus() {}
}
