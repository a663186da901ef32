package weldcross.cli;

import java.io.IOException;
import java.util.logging.Level;
import weldcross.config.GatewayConfig;
import weldcross.config.InvalidConfigException;
import weldcross.gateway.GatewayProcess;
import weldcross.gateway.SelfTest;

/** Runs a gateway in this process without loading classes of the command-line parser. */
public final class ServeCommand {

  private ServeCommand() {}

  /**
   * Runs a gateway without extensions, configured by the file that {@code NODE_CONFIG} names.
   *
   * @param logLevel minimum level of logged messages
   * @return the exit status, once the gateway has stopped
   */
  public static int run(Level logLevel) {
    LogFormatter.install(logLevel);
    try {
      return GatewayProcess.run(() -> GatewayConfig.read(System.getenv()), process -> {});
    } catch (InvalidConfigException e) {
      return reportInvalid(e);
    }
  }

  /**
   * Runs a gateway with extensions.
   *
   * @param logLevel minimum level of logged messages
   * @param extensionsFile path of the extensions' TOML file
   * @return the exit status, once the gateway has stopped
   */
  static int run(Level logLevel, String extensionsFile) {
    LogFormatter.install(logLevel);
    try {
      return GatewayProcess.run(
          () -> GatewayConfig.read(System.getenv()),
          config -> ExtensionLoader.load(extensionsFile, config),
          ExtensionLoader.wallClock(),
          process -> {});
    } catch (InvalidConfigException e) {
      return reportInvalid(e);
    }
  }

  /**
   * Runs a gateway against fake servers, as described in {@link SelfTest}.
   *
   * @param configFile path of the gateway's JSON file
   * @return the exit status
   * @throws IOException if no loopback socket can be opened
   */
  public static int selfTest(String configFile) throws IOException {
    LogFormatter.install(Level.WARNING);
    try {
      return SelfTest.run(GatewayConfig.read(configFile));
    } catch (InvalidConfigException e) {
      return reportInvalid(e);
    }
  }

  /** Prints an error in one line; returns the exit status. */
  static int reportInvalid(Exception error) {
    System.err.println("weldcross: " + error.getMessage());
    return ExitStatus.INVALID_CONFIG;
  }
}
