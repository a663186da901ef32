package weldcross;

import java.io.IOException;
import java.util.logging.Level;
import weldcross.cli.ServeCommand;
import weldcross.cli.WeldcrossCommand;

/** The entry point; {@link WeldcrossCommand} defines the commands. */
public final class Main {

  private Main() {}

  /** Runs the command given by the arguments and exits with its status. */
  public static void main(String[] args) throws IOException {
    // Loading picocli takes about 0.2 s on one core, which would delay every gateway restart.
    if (args.length == 1 && args[0].equals("serve")) {
      System.exit(ServeCommand.run(Level.INFO));
    }
    // The build archives the classes that the self-test loads, which must match those of serve.
    if (args.length == 2 && (args[0].equals("self-test") || args[0].equals("rehearse"))) {
      System.exit(ServeCommand.selfTest(args[1]));
    }
    System.exit(WeldcrossCommand.run(args));
  }
}
