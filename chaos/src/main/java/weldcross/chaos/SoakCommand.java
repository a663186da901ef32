package weldcross.chaos;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import weldcross.chaos.history.GatewayLogs;
import weldcross.chaos.history.HistoryChecker.Violation;
import weldcross.chaos.soak.SoakPlan;

/** Runs soak tests, each with a random plan generated from a seed. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Runs soak tests: random signals and faults, generated from a seed.")
final class SoakCommand implements Callable<Integer> {

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

  @Option(
      names = "--seconds",
      defaultValue = "120",
      description = "Duration of each run (default: ${DEFAULT-VALUE}).")
  private int seconds;

  @Option(
      names = "--out",
      defaultValue = "target/soak",
      description = "Parent of the run directories (default: ${DEFAULT-VALUE}).")
  private Path out;

  @Option(names = "--keep", description = "Also keep the directories of runs without violations.")
  private boolean keep;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    int status = Main.CLEAN;
    for (long runSeed = seed; runSeed < seed + times; runSeed++) {
      status = Math.max(status, runOnce(runSeed));
    }
    return status;
  }

  private int runOnce(long runSeed) throws IOException, InterruptedException {
    Path directory = out.resolve("seed-" + runSeed);
    Directories.delete(directory);
    SoakResult result =
        SoakRun.run(SoakPlan.generate(runSeed, Duration.ofSeconds(seconds)), directory);
    PrintWriter terminal = spec.commandLine().getOut();
    terminal.println(result.describe());
    for (Violation violation :
        result.verdict().violations().stream().limit(Main.MAX_PRINTED_VIOLATIONS).toList()) {
      if (!violation.rpc().isEmpty()) {
        GatewayLogs.linesFor(directory, violation.rpc())
            .forEach(line -> terminal.println("    " + line));
      }
    }
    terminal.flush();
    boolean clean = result.verdict().isClean();
    if (clean && !keep) {
      Directories.delete(directory);
    } else {
      terminal.println("files kept in " + directory);
      terminal.flush();
    }
    return clean ? Main.CLEAN : Main.VIOLATION;
  }
}
