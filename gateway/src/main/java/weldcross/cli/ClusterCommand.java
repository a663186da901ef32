package weldcross.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.jline.terminal.Size;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.jline.utils.AttributedString;
import org.jline.utils.Display;
import org.jline.utils.InfoCmp.Capability;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands for an operator, carried out by the control endpoint of a gateway. */
@Command(
    name = "cluster",
    description = "Shows what a gateway knows of the others, and changes who is a member.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      ClusterCommand.Status.class,
      ClusterCommand.Watch.class,
      ClusterCommand.Forget.class,
      ClusterCommand.Leave.class,
      ClusterCommand.Join.class
    })
final class ClusterCommand implements Runnable {

  private static final String STATUS_PATH = "/cluster";

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  /** A command that needs the control endpoint; a request that fails ends it. */
  abstract static class ControlCommand implements Callable<Integer> {

    @Option(
        names = "--at",
        paramLabel = "HOST:PORT",
        required = true,
        description = "The gateway's control address, as its extensions' file has it.")
    private String address;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public final Integer call() throws IOException, InterruptedException {
      try {
        return run(new ControlClient(address));
      } catch (ControlClient.RequestFailedException e) {
        spec.commandLine().getErr().println("weldcross: " + e.getMessage());
        return ExitStatus.FAILED;
      }
    }

    /** Carries out the command; returns the exit status. */
    abstract int run(ControlClient client)
        throws ControlClient.RequestFailedException, IOException, InterruptedException;

    PrintWriter out() {
      return spec.commandLine().getOut();
    }
  }

  private static List<String> statusLines(String json) {
    return ClusterStatusTable.lines(ControlClient.parse(json));
  }

  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "A table: each gateway as it is seen, and as the agreed view has it.")
  static final class Status extends ControlCommand {

    @Option(names = "--json", description = "Prints the gateway's answer as it is.")
    private boolean json;

    @Override
    int run(ControlClient client)
        throws ControlClient.RequestFailedException, InterruptedException {
      String status = client.request("GET", STATUS_PATH);
      out().println(json ? status : String.join("\n", statusLines(status)));
      return ExitStatus.OK;
    }
  }

  @Command(
      name = "watch",
      mixinStandardHelpOptions = true,
      description = "The same table, kept up to date.")
  static final class Watch extends ControlCommand {

    @Option(
        names = "--times",
        paramLabel = "N",
        description = "Ends after so many updates (default: goes on).")
    private long times = Long.MAX_VALUE;

    @Override
    int run(ControlClient client)
        throws ControlClient.RequestFailedException, IOException, InterruptedException {
      try (Terminal terminal = TerminalBuilder.builder().dumb(true).build()) {
        Display display = new Display(terminal, false);
        terminal.puts(Capability.cursor_invisible);
        try {
          for (long update = 0; update < times; update++) {
            show(client.request("GET", STATUS_PATH), terminal, display);
            TimeUnit.SECONDS.sleep(update + 1 < times ? 1 : 0);
          }
        } finally {
          terminal.puts(Capability.cursor_visible);
          terminal.writer().println();
          terminal.flush();
        }
      }
      return ExitStatus.OK;
    }

    private static void show(String status, Terminal terminal, Display display) {
      Size size = terminal.getSize();
      display.resize(size.getRows(), size.getColumns());
      display.update(statusLines(status).stream().map(AttributedString::new).toList(), 0);
    }
  }

  @Command(
      name = "forget",
      mixinStandardHelpOptions = true,
      description = {
        "Takes a gateway out of the agreed view, on your word that it does nothing more.",
        "If it still runs, requests in progress may be done twice: once by it, once by who takes",
        "over. A gateway of which there is proof that it ended goes by itself; only a silent one",
        "needs this."
      })
  static final class Forget extends ControlCommand {

    @Parameters(paramLabel = "NAME", description = "The gateway.")
    private String name;

    @Option(
        names = "--it-has-ended",
        required = true,
        description = "Says that you looked: its process is gone.")
    @SuppressWarnings("UnusedVariable") // Required as a confirmation; its value says no more.
    private boolean hasEnded;

    @Override
    int run(ControlClient client)
        throws ControlClient.RequestFailedException, InterruptedException {
      String query = "?name=" + URLEncoder.encode(name, StandardCharsets.UTF_8);
      String response = client.request("POST", STATUS_PATH + "/forget" + query);
      String verdict = ControlClient.parse(response).text("verdict");
      out()
          .println(
              switch (verdict) {
                case "DONE" -> name + " is a member no more";
                case "CHANGED" -> "the view has changed meanwhile, nothing is done: look again";
                case "UNKNOWN" -> name + " is no member";
                default -> verdict;
              });
      return verdict.equals("DONE") ? ExitStatus.OK : ExitStatus.FAILED;
    }
  }

  @Command(
      name = "leave",
      mixinStandardHelpOptions = true,
      description =
          "Has the gateway leave the agreed view; it serves on, and counts in nothing agreed.")
  static final class Leave extends ControlCommand {

    @Override
    int run(ControlClient client)
        throws ControlClient.RequestFailedException, InterruptedException {
      String response = client.request("POST", STATUS_PATH + "/leave");
      out().println(ControlClient.parse(response).text("phase"));
      return ExitStatus.OK;
    }
  }

  @Command(
      name = "join",
      mixinStandardHelpOptions = true,
      description = "Has a gateway that has left be a member again, in a later incarnation.")
  static final class Join extends ControlCommand {

    @Override
    int run(ControlClient client)
        throws ControlClient.RequestFailedException, InterruptedException {
      String response = client.request("POST", STATUS_PATH + "/join");
      out().println(ControlClient.parse(response).text("phase"));
      return ExitStatus.OK;
    }
  }
}
