package weldcross.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import weldcross.config.ExtensionsConfig;
import weldcross.config.GatewayConfig;
import weldcross.config.InvalidConfigException;
import weldcross.simulator.SimulatorProtocolException;
import weldcross.simulator.SimulatorSession;

/** The command-line interface; each mode of the program is a subcommand. */
@Command(
    name = "weldcross",
    description = "Routes reads and writes in a replicated store.",
    mixinStandardHelpOptions = true,
    versionProvider = WeldcrossCommand.BuildVersion.class,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      WeldcrossCommand.Serve.class,
      WeldcrossCommand.Check.class,
      WeldcrossCommand.SelfTest.class,
      WeldcrossCommand.SelfTestAlias.class,
      WeldcrossCommand.Simulate.class,
      WeldcrossCommand.SimulateAlias.class,
      ClusterCommand.class,
      WeldcrossCommand.Version.class
    })
public final class WeldcrossCommand implements Runnable {

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs the command given by the arguments; returns the exit status. */
  public static int run(String... args) {
    return new CommandLine(new WeldcrossCommand())
        .setExecutionExceptionHandler(
            (exception, commandLine, parsed) -> {
              if (exception instanceof InvalidConfigException
                  || exception instanceof SimulatorProtocolException) {
                return ServeCommand.reportInvalid(exception);
              }
              throw exception;
            })
        .setParameterExceptionHandler(
            (exception, unparsed) -> {
              CommandLine commandLine = exception.getCommandLine();
              commandLine.getErr().println("weldcross: " + exception.getMessage());
              commandLine.usage(commandLine.getErr());
              return ExitStatus.USAGE;
            })
        .execute(args);
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description = "Runs a gateway, configured by the file that NODE_CONFIG names.")
  static final class Serve implements Callable<Integer> {

    @Option(
        names = "--log",
        paramLabel = "LEVEL",
        defaultValue = "INFO",
        description = "Log level: SEVERE, WARNING, INFO, FINE (default: ${DEFAULT-VALUE}).")
    private String level;

    @Option(
        names = "--with",
        paramLabel = "FILE",
        description = "Configuration file (TOML) of the extensions to load.")
    private String extensionsFile;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      Level parsed;
      try {
        parsed = Level.parse(level);
      } catch (IllegalArgumentException e) {
        throw new CommandLine.ParameterException(
            spec.commandLine(), "--log: unknown level: " + level);
      }
      return extensionsFile == null
          ? ServeCommand.run(parsed)
          : ServeCommand.run(parsed, extensionsFile);
    }
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description =
          "Validates the configuration of a gateway and prints a summary, or the first invalid "
              + "key.")
  static final class Check implements Callable<Integer> {

    @CommandLine.Parameters(
        arity = "0..1",
        paramLabel = "FILE",
        description = "Configuration file (default: the file that NODE_CONFIG names).")
    private String configFile;

    @Option(
        names = "--with",
        paramLabel = "FILE",
        description = "Configuration file (TOML) of the extensions to validate.")
    private String extensionsFile;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      GatewayConfig config =
          configFile == null ? GatewayConfig.read(System.getenv()) : GatewayConfig.read(configFile);
      String extensions =
          extensionsFile == null
              ? ""
              : "\n" + ExtensionsConfig.read(extensionsFile, config).describe();
      spec.commandLine().getOut().println(config.describe() + extensions);
      return ExitStatus.OK;
    }
  }

  @Command(
      name = "self-test",
      mixinStandardHelpOptions = true,
      description =
          "Starts a gateway on a loopback port with fake servers, sends it a few requests and "
              + "stops it.")
  static class SelfTest implements Callable<Integer> {

    @CommandLine.Parameters(arity = "1", paramLabel = "FILE", description = "Configuration file.")
    private String configFile;

    @Override
    public Integer call() throws IOException {
      return ServeCommand.selfTest(configFile);
    }
  }

  /** Deprecated name of {@code self-test}. */
  @Command(name = "rehearse", hidden = true)
  static final class SelfTestAlias extends SelfTest {}

  @Command(
      name = "simulate",
      mixinStandardHelpOptions = true,
      description = "Runs simulated gateways, driven by a simulator on standard input and output.")
  static class Simulate implements Callable<Integer> {

    @Override
    public Integer call() throws IOException {
      new SimulatorSession(System.in, System.out).run();
      return ExitStatus.OK;
    }
  }

  /** Deprecated name of {@code simulate}. */
  @Command(name = "wirehost", hidden = true)
  static final class SimulateAlias extends Simulate {}

  @Command(name = "version", mixinStandardHelpOptions = true, description = "Prints the version.")
  static final class Version implements Callable<Integer> {

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      spec.commandLine().getOut().println(BuildVersion.line());
      return ExitStatus.OK;
    }
  }

  /** Provides the version that the build stored in the jar. */
  static final class BuildVersion implements IVersionProvider {

    @Override
    public String[] getVersion() {
      return new String[] {line()};
    }

    /** Returns the name and version of the program. */
    static String line() {
      Properties build = new Properties();
      try (InputStream in =
          WeldcrossCommand.class.getResourceAsStream("/weldcross/build.properties")) {
        build.load(in);
      } catch (IOException e) {
        throw new IllegalStateException("cannot read build.properties of the jar", e);
      }
      return "weldcross " + build.getProperty("version");
    }
  }
}
