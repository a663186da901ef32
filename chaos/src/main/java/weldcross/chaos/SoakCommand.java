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

/** Runs soaks, each drawn by a seed. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Runs gateways through series of signals and troubles that a seed draws.")
final class SoakCommand implements Callable<Integer> {

  private static final int MAX_PRINTED_VIOLATIONS = 5;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Of the first run (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Option(names = "--times", defaultValue = "1", description = "Runs, each with the next seed.")
  private int times;

  @Option(
      names = "--seconds",
      defaultValue = "120",
      description = "Of each run (default: ${DEFAULT-VALUE}).")
  private int seconds;

  @Option(
      names = "--out",
      defaultValue = "target/soak",
      description = "Where runs leave their directories.")
  private Path out;

  @Option(names = "--keep", description = "Keeps the directories of clean runs, too.")
  private boolean keep;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    int status = Main.CLEAN;
    for (long next = seed; next < seed + times; next++) {
      status = Math.max(status, runOnce(next));
    }
    return status;
  }

  private int runOnce(long next) throws IOException, InterruptedException {
    Path directory = out.resolve("seed-" + next);
    Directories.delete(directory);
    SoakResult result = SoakRun.run(SoakPlan.draw(next, Duration.ofSeconds(seconds)), directory);
    PrintWriter terminal = spec.commandLine().getOut();
    terminal.println(result.describe());
    for (Violation violation :
        result.verdict().violations().stream().limit(MAX_PRINTED_VIOLATIONS).toList()) {
      if (!violation.rpc().isEmpty()) {
        GatewayLogs.linesOf(directory, violation.rpc())
            .forEach(line -> terminal.println("    " + line));
      }
    }
    terminal.flush();
    boolean clean = result.verdict().isClean();
    if (clean && !keep) {
      Directories.delete(directory);
    } else {
      terminal.println("kept: " + directory);
      terminal.flush();
    }
    return clean ? Main.CLEAN : Main.VIOLATION;
  }
}
