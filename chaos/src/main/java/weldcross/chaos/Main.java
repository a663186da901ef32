package weldcross.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.LocalDateTime;
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
import weldcross.chaos.history.HistoryChecker;
import weldcross.chaos.report.LatencyStatistics;
import weldcross.chaos.report.Report;
import weldcross.chaos.scenario.Scenario;
import weldcross.config.InvalidConfigException;

/** The command line of the trial ground. */
@Command(
    name = "weldcross-chaos",
    mixinStandardHelpOptions = true,
    subcommands = {Main.Run.class, Main.ListAll.class, Main.Again.class},
    description =
        "Plays scenarios on real gateway processes and judges them by the servers' record.",
    synopsisSubcommandLabel = "COMMAND")
public final class Main implements Runnable {

  /**
   * Clean; a rule was broken; the command line or a scenario cannot be used; the trial could not be
   * played.
   */
  static final int CLEAN = 0, BREACH = 1, USAGE = 2, BROKEN = 70;

  /** The first breaches are told whole. */
  private static final int TOLD = 5;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  public static void main(String[] args) {
    System.exit(run(args));
  }

  static int run(String... args) {
    return new CommandLine(new Main())
        .setExecutionExceptionHandler(
            (fault, line, parsed) -> {
              if (fault instanceof InvalidConfigException) {
                line.getErr().println("weldcross-chaos: " + fault.getMessage());
                return USAGE;
              }
              fault.printStackTrace(line.getErr());
              return BROKEN;
            })
        .execute(args);
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  @Command(
      name = "run",
      mixinStandardHelpOptions = true,
      description = "Plays a scenario; ends with 1 at a breach.")
  static final class Run implements Callable<Integer> {

    @Parameters(
        arity = "1",
        paramLabel = "SCENARIO",
        description = "A TOML file, or a schedule written by a trial.")
    private String file;

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "Of the first play (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--times", defaultValue = "1", description = "Plays, each with the next seed.")
    private int times;

    @Option(names = "--seconds", description = "In place of the scenario's.")
    private Integer seconds;

    @Option(
        names = "--out",
        defaultValue = "target/trials",
        description = "Where trials leave their directories.")
    private Path out;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
      Scenario read = Scenario.read(file);
      Scenario scenario = seconds == null ? read : read.lasting(Duration.ofSeconds(seconds));
      int status = CLEAN;
      for (long next = seed; next < seed + times; next++) {
        Path directory =
            out.resolve(
                scenario.name()
                    + "-"
                    + next
                    + "-"
                    + LocalDateTime.now().format(DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss")));
        status = Math.max(status, one(scenario, next, directory));
      }
      return status;
    }

    private int one(Scenario scenario, long next, Path directory)
        throws IOException, InterruptedException {
      java.io.PrintWriter told = spec.commandLine().getOut();
      told.println(scenario.name() + ", seed " + next + ": " + directory);
      ChaosRun.Result trial;
      try (ProgressBar bar =
          new ProgressBarBuilder()
              .setTaskName("plays")
              .setUnit(" s", 1)
              .setStyle(ProgressBarStyle.ASCII)
              .setInitialMax(scenario.lasting().toSeconds())
              .setUpdateIntervalMillis(1000)
              .build()) {
        trial = ChaosRun.play(scenario, next, directory, bar::stepTo);
      }
      Report.keep(trial, directory);
      told.println(new LatencyStatistics(trial).describe());
      trial.ready().forEach(told::println);
      tell(trial, directory, told);
      told.println("report: " + Report.write(trial, directory));
      told.flush();
      return trial.isClean() ? CLEAN : BREACH;
    }
  }

  private static void tell(ChaosRun.Result trial, Path directory, java.io.PrintWriter told)
      throws IOException {
    List<HistoryChecker.Breach> all = trial.breaches();
    told.println(all.isEmpty() ? "no rule broken" : all.size() + " BREACHES");
    for (HistoryChecker.Breach each : all.subList(0, Math.min(TOLD, all.size()))) {
      told.println(
          each.rule().words
              + ": "
              + each.rpc()
              + " at "
              + each.at() / 1_000_000
              + " ms, "
              + each.what());
      ChaosRun.lines(directory, each.rpc()).forEach(l -> told.println("    " + l));
    }
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists the scenarios of a directory.")
  static final class ListAll implements Callable<Integer> {

    @Parameters(arity = "0..1", defaultValue = "chaos/scenarios", paramLabel = "DIRECTORY")
    private Path directory;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      try (Stream<Path> all = Files.list(directory)) {
        for (Path each : all.filter(p -> p.toString().endsWith(".toml")).sorted().toList()) {
          Scenario s = Scenario.read(each.toString());
          spec.commandLine()
              .getOut()
              .printf(
                  "%-44s %4d s, %d gateways, %d servers, %d RPCs a second: %s%n",
                  each,
                  s.lasting().toSeconds(),
                  s.gateways(),
                  s.groups() * s.serversPerGroup(),
                  s.rate(),
                  s.about());
        }
      }
      return CLEAN;
    }
  }

  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      description = "Judges the evidence of a trial again and makes its page anew.")
  static final class Again implements Callable<Integer> {

    @Parameters(arity = "1", paramLabel = "DIRECTORY", description = "Of a trial.")
    private Path directory;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      ChaosRun.Result kept = Report.kept(directory);
      ChaosRun.Result trial =
          new ChaosRun.Result(
              kept.played(),
              kept.seed(),
              kept.evidence(),
              HistoryChecker.of(kept.evidence()),
              kept.ready(),
              kept.where());
      spec.commandLine().getOut().println(new LatencyStatistics(trial).describe());
      tell(trial, directory, spec.commandLine().getOut());
      spec.commandLine().getOut().println("report: " + Report.write(trial, directory));
      return trial.isClean() ? CLEAN : BREACH;
    }
  }
}
