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

/** Operator commands that the control endpoint of a gateway executes. */
@Command(
    name = "cluster",
    description = "Shows the cluster as a gateway sees it, and changes its membership.",
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

  /** A command that uses the control endpoint; a failed request ends the command. */
  abstract static class ControlCommand implements Callable<Integer> {

    @Option(
        names = "--at",
        paramLabel = "HOST:PORT",
        required = true,
        description = "Control address of the gateway, as in its extensions file.")
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

    /** Executes the command; returns the exit status. */
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
      description =
          "Prints a table of the gateways: their observed state and their agreed membership.")
  static final class Status extends ControlCommand {

    @Option(names = "--json", description = "Prints the JSON response of the gateway.")
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
      description = "Prints the status table and updates it every second.")
  static final class Watch extends ControlCommand {

    @Option(
        names = "--times",
        paramLabel = "N",
        description = "Number of updates (default: unlimited).")
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
        "Removes a gateway from the agreed view on your confirmation that it has ended.",
        "If it is still running, requests in progress may be executed twice: by it and by the",
        "gateway that takes over. A gateway that is proven to have ended is removed automatically;",
        "this command is needed only for an unreachable one."
      })
  static final class Forget extends ControlCommand {

    @Parameters(paramLabel = "NAME", description = "Name of the gateway.")
    private String name;

    @Option(
        names = "--it-has-ended",
        required = true,
        description = "Confirms that you checked that the process of the gateway has ended.")
    @SuppressWarnings("UnusedVariable") // Only the presence of the option matters.
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
                case "DONE" -> name + " is no longer a member";
                case "CHANGED" ->
                    "the view has changed in the meantime, nothing was done: check the status";
                case "UNKNOWN" -> name + " is not a member";
                default -> verdict;
              });
      return verdict.equals("DONE") ? ExitStatus.OK : ExitStatus.FAILED;
    }
  }

  @Command(
      name = "leave",
      mixinStandardHelpOptions = true,
      description =
          "Removes the gateway from the agreed view; it keeps serving clients as a non-member.")
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
      description = "Makes a gateway that has left a member again, with a new incarnation.")
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
