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

/** The command line: one sub-command a shape that the program can take. */
@Command(
    name = "weldcross",
    description = "Routes reads and writes in a replicated store.",
    mixinStandardHelpOptions = true,
    versionProvider = WeldcrossCommand.FromBuild.class,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      WeldcrossCommand.Serve.class,
      WeldcrossCommand.Check.class,
      WeldcrossCommand.Rehearse.class,
      WeldcrossCommand.SimulatorActions.class,
      ClusterCommand.class,
      WeldcrossCommand.Version.class
    })
public final class WeldcrossCommand implements Runnable {

  /** Ended as asked; the command line cannot be used. */
  static final int OK = 0;

  static final int USAGE = 2;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Runs what the arguments name; returns the status to exit with. */
  public static int run(String... args) {
    return new CommandLine(new WeldcrossCommand())
        .setExecutionExceptionHandler(
            (fault, line, parsed) -> {
              if (fault instanceof InvalidConfigException
                  || fault instanceof SimulatorProtocolException) {
                return ServeCommand.faulty(fault);
              }
              throw fault;
            })
        .setParameterExceptionHandler(
            (fault, rest) -> {
              CommandLine line = fault.getCommandLine();
              line.getErr().println("weldcross: " + fault.getMessage());
              line.usage(line.getErr());
              return USAGE;
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
      description = "Serves as one gateway, configured by the file that NODE_CONFIG names.")
  static final class Serve implements Callable<Integer> {

    @Option(
        names = "--log",
        paramLabel = "LEVEL",
        defaultValue = "INFO",
        description = "How much to log: SEVERE, WARNING, INFO, FINE (default: ${DEFAULT-VALUE}).")
    private String level;

    @Option(
        names = "--with",
        paramLabel = "FILE",
        description = "Terms (TOML) of the parts that join beyond routing.")
    private String with;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      Level parsed;
      try {
        parsed = Level.parse(level);
      } catch (IllegalArgumentException e) {
        throw new CommandLine.ParameterException(
            spec.commandLine(), "--log: no such level: " + level);
      }
      return with == null ? ServeCommand.run(parsed) : ServeCommand.run(parsed, with);
    }
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description =
          "Reads a gateway's configuration and says what it would serve, or which key is "
              + "at fault.")
  static final class Check implements Callable<Integer> {

    @CommandLine.Parameters(
        arity = "0..1",
        paramLabel = "FILE",
        description = "The configuration (default: the file that NODE_CONFIG names).")
    private String file;

    @Option(
        names = "--with",
        paramLabel = "FILE",
        description = "Terms (TOML) of the parts that would join.")
    private String with;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      GatewayConfig terms =
          file == null ? GatewayConfig.read(System.getenv()) : GatewayConfig.read(file);
      spec.commandLine()
          .getOut()
          .println(
              terms.describe()
                  + (with == null ? "" : "\n" + ExtensionsConfig.read(with, terms).describe()));
      return OK;
    }
  }

  @Command(
      name = "rehearse",
      mixinStandardHelpOptions = true,
      description =
          "Starts a gateway on a loopback port of its own without servers, asks it once, "
              + "stops it.")
  static final class Rehearse implements Callable<Integer> {

    @CommandLine.Parameters(arity = "1", paramLabel = "FILE", description = "The configuration.")
    private String file;

    @Override
    public Integer call() throws IOException {
      return ServeCommand.rehearse(file);
    }
  }

  @Command(
      name = "wirehost",
      mixinStandardHelpOptions = true,
      description = "Hosts many instances on the bench's wire: standard input and output.")
  static final class SimulatorActions implements Callable<Integer> {

    @Override
    public Integer call() throws IOException {
      new SimulatorSession(System.in, System.out).run();
      return OK;
    }
  }

  @Command(name = "version", mixinStandardHelpOptions = true, description = "Prints the version.")
  static final class Version implements Callable<Integer> {

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      spec.commandLine().getOut().println(FromBuild.line());
      return OK;
    }
  }

  /** The version as the build wrote it down. */
  static final class FromBuild implements IVersionProvider {

    @Override
    public String[] getVersion() {
      return new String[] {line()};
    }

    static String line() {
      Properties build = new Properties();
      try (InputStream in =
          WeldcrossCommand.class.getResourceAsStream("/weldcross/build.properties")) {
        build.load(in);
      } catch (IOException e) {
        throw new IllegalStateException("the jar is not whole", e);
      }
      return "weldcross " + build.getProperty("version");
    }
  }
}
