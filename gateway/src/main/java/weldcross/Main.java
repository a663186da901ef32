package weldcross;

import java.io.IOException;
import java.util.logging.Level;
import weldcross.cli.ServeCommand;
import weldcross.cli.WeldcrossCommand;

/** Where the program starts; what it can do is in {@link WeldcrossCommand}. */
public final class Main {

  private Main() {}

  public static void main(String[] args) throws IOException {
    // Picocli takes some 0.2 s of one core to load, which at a restart is time in which nobody is
    // served.
    if (args.length == 1 && args[0].equals("serve")) {
      System.exit(ServeCommand.run(Level.INFO));
    }
    // What is rehearsed for the archive of classes is to load no others than that.
    if (args.length == 2 && args[0].equals("rehearse")) {
      System.exit(ServeCommand.rehearse(args[1]));
    }
    System.exit(WeldcrossCommand.run(args));
  }
}
