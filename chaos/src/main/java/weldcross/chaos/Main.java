package weldcross.chaos;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import weldcross.chaos.history.ChaosRunResult;
import weldcross.chaos.history.GatewayLogs;
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.report.RunReport;
import weldcross.chaos.report.RunStatistics;
import weldcross.chaos.report.RunStore;
import weldcross.chaos.scenario.Scenario;
import weldcross.config.InvalidConfigException;

/** Command line of the chaos test tool. */
@Command(
    name = "weldcross-chaos",
    mixinStandardHelpOptions = true,
    subcommands = {Main.Run.class, Main.ListScenarios.class, Main.Report.class, SoakCommand.class},
    description = "Runs scenarios on real gateway processes and checks the recorded history.",
    synopsisSubcommandLabel = "COMMAND")
public final class Main implements Runnable {

  /** Exit status: no rule was violated. */
  static final int CLEAN = 0;

  /** Exit status: a rule was violated. */
  static final int VIOLATION = 1;

  /** Exit status: the command line or a scenario is invalid. */
  static final int USAGE = 2;

  /** Exit status: the scenario could not be run. */
  static final int INTERNAL_ERROR = 70;

  /** Number of violations that are printed, each with its log lines. */
  static final int MAX_PRINTED_VIOLATIONS = 5;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** Creates the command; picocli calls this. */
  public Main() {}

  /**
   * Runs the command line and exits.
   *
   * @param args the arguments of the process
   */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  static int run(String... args) {
    return new CommandLine(new Main())
        .setExecutionExceptionHandler(
            (exception, commandLine, parsed) -> {
              if (exception instanceof InvalidConfigException) {
                commandLine.getErr().println("weldcross-chaos: " + exception.getMessage());
                return USAGE;
              }
              exception.printStackTrace(commandLine.getErr());
              return INTERNAL_ERROR;
            })
        .execute(args);
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  /** Runs a scenario, once or with several seeds. */
  @Command(
      name = "run",
      mixinStandardHelpOptions = true,
      description = "Runs a scenario; exits with 1 if a rule was violated.")
  static final class Run implements Callable<Integer> {

    private static final DateTimeFormatter DIRECTORY_TIME =
        DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss");

    @Parameters(
        arity = "1",
        paramLabel = "SCENARIO",
        description = "A scenario file (TOML), or the schedule.toml of an earlier run.")
    private String file;

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "Seed of the first run (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
        names = "--times",
        defaultValue = "1",
        description = "Number of runs; each uses the next seed.")
    private int times;

    @Option(names = "--seconds", description = "Duration of a run; overrides that of the scenario.")
    private Integer seconds;

    @Option(
        names = "--out",
        defaultValue = "target/trials",
        description = "Parent of the run directories (default: ${DEFAULT-VALUE}).")
    private Path out;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
      Scenario fromFile = Scenario.read(file);
      Scenario scenario =
          seconds == null ? fromFile : fromFile.withDuration(Duration.ofSeconds(seconds));
      int status = CLEAN;
      for (long runSeed = seed; runSeed < seed + times; runSeed++) {
        status = Math.max(status, runOnce(scenario, runSeed));
      }
      return status;
    }

    private int runOnce(Scenario scenario, long runSeed) throws IOException, InterruptedException {
      String time = LocalDateTime.now(ZoneOffset.UTC).format(DIRECTORY_TIME);
      Path directory = out.resolve(scenario.name() + "-" + runSeed + "-" + time);
      PrintWriter terminal = spec.commandLine().getOut();
      terminal.println(scenario.name() + ", seed " + runSeed + ": " + directory);
      ChaosRunResult result;
      try (ProgressBar bar = progressBar(scenario)) {
        result = ChaosRun.run(scenario, runSeed, directory, bar::stepTo);
      }
      RunStore.write(result, directory);
      terminal.println(new RunStatistics(result).describe());
      result.restarts().forEach(terminal::println);
      printViolations(result, directory, terminal);
      terminal.println("report: " + RunReport.write(result, directory));
      terminal.flush();
      return result.isClean() ? CLEAN : VIOLATION;
    }

    private static ProgressBar progressBar(Scenario scenario) {
      return new ProgressBarBuilder()
          .setTaskName("runs")
          .setUnit(" s", 1)
          .setStyle(ProgressBarStyle.ASCII)
          .setInitialMax(scenario.duration().toSeconds())
          .setUpdateIntervalMillis(1000)
          .build();
    }
  }

  private static void printViolations(ChaosRunResult result, Path directory, PrintWriter terminal)
      throws IOException {
    List<HistoryChecker.Violation> violations = result.violations();
    terminal.println(violations.isEmpty() ? "no violations" : violations.size() + " violations");
    for (HistoryChecker.Violation violation :
        violations.subList(0, Math.min(MAX_PRINTED_VIOLATIONS, violations.size()))) {
      terminal.println(violation.describe());
      for (String line : GatewayLogs.linesFor(directory, violation.rpc())) {
        terminal.println("    " + line);
      }
    }
  }

  /** Lists the scenarios of a directory. */
  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists the scenarios of a directory.")
  static final class ListScenarios implements Callable<Integer> {

    @Parameters(arity = "0..1", defaultValue = "chaos/scenarios", paramLabel = "DIRECTORY")
    private Path directory;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      try (Stream<Path> files = Files.list(directory)) {
        for (Path path :
            files.filter(file -> file.toString().endsWith(".toml")).sorted().toList()) {
          print(path, Scenario.read(path.toString()));
        }
      }
      return CLEAN;
    }

    private void print(Path file, Scenario scenario) {
      spec.commandLine()
          .getOut()
          .printf(
              "%-44s %4d s, %d gateways, %d servers, %d requests per second: %s%n",
              file,
              scenario.duration().toSeconds(),
              scenario.gateways(),
              scenario.groups() * scenario.serversPerGroup(),
              scenario.rate(),
              scenario.description());
    }
  }

  /** Checks the stored history of a run again and rewrites its report. */
  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      description = "Checks the stored history of a run again and rewrites its report.")
  static final class Report implements Callable<Integer> {

    @Parameters(arity = "1", paramLabel = "DIRECTORY", description = "A run directory.")
    private Path directory;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      ChaosRunResult stored = RunStore.read(directory);
      ChaosRunResult result =
          new ChaosRunResult(
              stored.scenario(),
              stored.seed(),
              stored.history(),
              HistoryChecker.check(stored.history()),
              stored.restarts(),
              stored.directory());
      PrintWriter terminal = spec.commandLine().getOut();
      terminal.println(new RunStatistics(result).describe());
      printViolations(result, directory, terminal);
      terminal.println("report: " + RunReport.write(result, directory));
      return result.isClean() ? CLEAN : VIOLATION;
    }
  }
}
