package weldcross.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
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
import picocli.CommandLine.Help.Ansi;
import picocli.CommandLine.Help.ColorScheme;
import picocli.CommandLine.Help.Column;
import picocli.CommandLine.Help.TextTable;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import weldcross.config.ConfigValues;

/** What an operator asks of a gateway about the others, and tells it; by its control address. */
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

  /** The gateway did not answer, or says that it cannot be done. */
  static final int FAILED = 1;

  private static final Duration WITHIN = Duration.ofSeconds(10);

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  /** What all of them are told. */
  abstract static class Asking implements Callable<Integer> {

    @Option(
        names = "--at",
        paramLabel = "HOST:PORT",
        required = true,
        description = "The gateway's control address, as its file of terms has it.")
    private String at;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    PrintWriter out() {
      return spec.commandLine().getOut();
    }

    /** The body, or null where it has said why not. */
    String ask(String method, String path) throws InterruptedException {
      try {
        HttpResponse<String> answer =
            HttpClient.newBuilder()
                .connectTimeout(WITHIN)
                .build()
                .send(
                    HttpRequest.newBuilder(URI.create("http://" + at + path))
                        .timeout(WITHIN)
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build(),
                    HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        if (answer.statusCode() == 200) {
          return answer.body();
        }
        spec.commandLine()
            .getErr()
            .println("weldcross: " + values(answer.body()).text("fault", answer.body()));
      } catch (IOException | IllegalArgumentException e) {
        spec.commandLine().getErr().println("weldcross: " + at + " does not answer: " + e);
      }
      return null;
    }
  }

  private static ConfigValues values(String json) {
    return ConfigValues.ofJson(json.getBytes(StandardCharsets.UTF_8));
  }

  private static List<String> lines(String json, Ansi ansi) {
    ConfigValues all = values(json);
    List<String> lines = new ArrayList<>();
    long age = all.integer("leader_age_ms", -1, -1);
    lines.add(
        all.text("self")
            + " of "
            + all.text("group")
            + ": view "
            + all.text("view")
            + ", "
            + all.text("phase")
            + ", "
            + (age < 0
                ? "no leader heard of"
                : "leader " + all.text("leader", "?") + " as of " + age + " ms ago")
            + ", share "
            + all.text("share")
            + (all.text("voter", "").isEmpty() ? "" : ", voter " + all.text("voter")));
    if (!all.text("disk", "").isEmpty()) {
      lines.add("disk: " + all.text("disk"));
    }
    ColorScheme scheme = CommandLine.Help.defaultColorScheme(ansi);
    TextTable table =
        TextTable.forColumns(
            scheme,
            new Column(20, 0, Column.Overflow.SPAN),
            new Column(9, 1, Column.Overflow.SPAN),
            new Column(7, 1, Column.Overflow.SPAN),
            new Column(8, 1, Column.Overflow.SPAN),
            new Column(10, 1, Column.Overflow.SPAN),
            new Column(6, 1, Column.Overflow.SPAN),
            new Column(10, 1, Column.Overflow.SPAN),
            new Column(6, 1, Column.Overflow.SPAN),
            new Column(6, 1, Column.Overflow.SPAN));
    table.addRowValues(
        "gateway", "seen", "life", "agreed", "zone", "part", "heard", "link", "votes");
    for (int k = 0; k < all.count("gateways"); k++) {
      ConfigValues one = all.under("gateways." + k);
      long heard = one.integer("heard_ms", -1, -1);
      String agreed = one.text("agreed");
      table.addRowValues(
          one.text("name"),
          one.text("seen"),
          one.text("life"),
          agreed.equals("0") ? "-" : agreed,
          one.text("zone", "-"),
          one.text("part"),
          heard < 0 ? "-" : heard + " ms",
          one.text("link", "-"),
          one.flag("votes", false) ? "yes" : "-");
    }
    lines.addAll(List.of(table.toString().split("\n")));
    return lines;
  }

  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "A table: each gateway as it is seen, and as the agreed view has it.")
  static final class Status extends Asking {

    @Option(names = "--json", description = "As the gateway says it.")
    private boolean json;

    @Override
    public Integer call() throws InterruptedException {
      String body = ask("GET", "/cluster");
      if (body != null) {
        out().println(json ? body : String.join("\n", lines(body, Ansi.OFF)));
      }
      return body == null ? FAILED : WeldcrossCommand.OK;
    }
  }

  @Command(
      name = "watch",
      mixinStandardHelpOptions = true,
      description = "The same table, kept up to date.")
  static final class Watch extends Asking {

    @Option(
        names = "--times",
        paramLabel = "N",
        description = "Ends after so many looks (default: goes on).")
    private long times = Long.MAX_VALUE;

    @Override
    public Integer call() throws IOException, InterruptedException {
      try (Terminal terminal = TerminalBuilder.builder().dumb(true).build()) {
        Display display = new Display(terminal, false);
        terminal.puts(Capability.cursor_invisible);
        try {
          for (long k = 0; k < times; k++) {
            String body = ask("GET", "/cluster");
            if (body == null) {
              return FAILED;
            }
            Size size = terminal.getSize();
            display.resize(size.getRows(), size.getColumns());
            display.update(lines(body, Ansi.OFF).stream().map(AttributedString::new).toList(), 0);
            TimeUnit.SECONDS.sleep(k + 1 < times ? 1 : 0);
          }
        } finally {
          terminal.puts(Capability.cursor_visible);
          terminal.writer().println();
          terminal.flush();
        }
      }
      return WeldcrossCommand.OK;
    }
  }

  @Command(
      name = "forget",
      mixinStandardHelpOptions = true,
      description = {
        "Takes a gateway out of the agreed view, on your word that it does nothing more.",
        "If it still runs, what it has in hand may be done twice: once by it, once by who takes over.",
        "A gateway of which there is proof that it ended goes by itself; only a silent one needs this."
      })
  static final class Forget extends Asking {

    @Parameters(paramLabel = "NAME", description = "The gateway.")
    private String name;

    @Option(
        names = "--it-has-ended",
        required = true,
        description = "Says that you looked: its process is gone.")
    private boolean ended;

    @Override
    public Integer call() throws InterruptedException {
      String body =
          ask("POST", "/cluster/forget?name=" + URLEncoder.encode(name, StandardCharsets.UTF_8));
      if (body == null) {
        return FAILED;
      }
      String verdict = values(body).text("verdict");
      out()
          .println(
              switch (verdict) {
                case "DONE" -> name + " is a member no more";
                case "CHANGED" -> "the view has changed meanwhile, nothing is done: look again";
                case "UNKNOWN" -> name + " is no member";
                default -> verdict;
              });
      return verdict.equals("DONE") ? WeldcrossCommand.OK : FAILED;
    }
  }

  @Command(
      name = "leave",
      mixinStandardHelpOptions = true,
      description =
          "Has the gateway leave the agreed view; it serves on, and counts in nothing agreed.")
  static final class Leave extends Asking {

    @Override
    public Integer call() throws InterruptedException {
      String body = ask("POST", "/cluster/leave");
      if (body != null) {
        out().println(values(body).text("phase"));
      }
      return body == null ? FAILED : WeldcrossCommand.OK;
    }
  }

  @Command(
      name = "join",
      mixinStandardHelpOptions = true,
      description = "Has a gateway that has left be a member again, as a later life.")
  static final class Join extends Asking {

    @Override
    public Integer call() throws InterruptedException {
      String body = ask("POST", "/cluster/join");
      if (body != null) {
        out().println(values(body).text("phase"));
      }
      return body == null ? FAILED : WeldcrossCommand.OK;
    }
  }
}
