package weldcross.chaos.history;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Reads the logs that the gateways of a run have written. */
public final class GatewayLogs {

  /** Name of the log file in the home directory of a gateway. */
  public static final String FILE_NAME = "log";

  private GatewayLogs() {}

  /**
   * Finds all log lines about a request, in the logs of all gateways.
   *
   * @param directory run directory
   * @param requestId the request; an empty id matches no line
   * @return the lines in order of time, each with the name of its gateway
   * @throws IOException if a log cannot be read
   */
  public static List<String> linesFor(Path directory, String requestId) throws IOException {
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
    // Each line starts with its time in ISO 8601 format, so text order is time order. Only a time
    // without a fraction sorts after the other times of its second.
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
