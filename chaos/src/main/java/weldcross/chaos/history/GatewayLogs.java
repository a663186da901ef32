package weldcross.chaos.history;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The logs that the gateways of a run have written. */
public final class GatewayLogs {

  /** The name of the log in the home of a gateway. */
  public static final String FILE_NAME = "log";

  private GatewayLogs() {}

  /**
   * Finds the lines of all gateways that name a request.
   *
   * @param directory of the run
   * @param requestId what a line must contain; empty for no line
   * @return the lines in the order of their times, each with the gateway's name
   * @throws IOException if a log cannot be read
   */
  public static List<String> linesOf(Path directory, String requestId) throws IOException {
    List<String> found = new ArrayList<>();
    if (requestId.isEmpty()) {
      return found;
    }
    for (Path log : logs(directory)) {
      String gateway = log.getParent().getFileName().toString();
      try (Stream<String> lines = Files.lines(log)) {
        lines
            .filter(line -> line.contains(requestId))
            .forEach(line -> found.add(line + " [" + gateway + "]"));
      }
    }
    found.sort(Comparator.naturalOrder());
    return found;
  }

  private static List<Path> logs(Path directory) throws IOException {
    try (Stream<Path> homes = Files.list(directory)) {
      return homes
          .map(home -> home.resolve(FILE_NAME))
          .filter(Files::isRegularFile)
          .sorted()
          .toList();
    }
  }
}
