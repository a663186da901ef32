package weldcross.cli;

import java.io.IOException;
import java.util.logging.Level;
import weldcross.config.GatewayConfig;
import weldcross.config.InvalidConfigException;
import weldcross.gateway.GatewayProcess;
import weldcross.gateway.SelfTest;

/** What {@code serve} does, apart from how its command line is read. */
public final class ServeCommand {

  /** The status where what was told at the start cannot be used. */
  static final int FAULTY = 1;

  private ServeCommand() {}

  /** Returns with the status to exit with. */
  public static int run(Level level) {
    LogFormatter.start(level);
    try {
      return GatewayProcess.run(() -> GatewayConfig.read(System.getenv()), service -> {});
    } catch (InvalidConfigException e) {
      return faulty(e);
    }
  }

  /** The same with the parts that a file of terms names. */
  static int run(Level level, String extensionsFile) {
    LogFormatter.start(level);
    try {
      return GatewayProcess.run(
          () -> GatewayConfig.read(System.getenv()),
          config -> ExtensionLoader.load(extensionsFile, config),
          ExtensionLoader.wallClock(),
          service -> {});
    } catch (InvalidConfigException e) {
      return faulty(e);
    }
  }

  /** The same with stand-ins, as {@link SelfTest} says; returns with the status to exit with. */
  public static int rehearse(String file) throws IOException {
    LogFormatter.start(Level.WARNING);
    try {
      return SelfTest.run(GatewayConfig.read(file));
    } catch (InvalidConfigException e) {
      return faulty(e);
    }
  }

  static int faulty(Exception fault) {
    System.err.println("weldcross: " + fault.getMessage());
    return FAULTY;
  }
}
