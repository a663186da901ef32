package weldcross.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import weldcross.chaos.history.GatewayLogs;

/**
 * A directory for the files of one test. It is deleted if the test passes; if it fails, the
 * directory is kept, and its path and the last lines of each gateway's log are printed.
 */
final class RunDirectory implements BeforeEachCallback, AfterEachCallback {

  private static final Path PARENT = Path.of("chaos", "target", "failed-tests");

  /** Covers the last seconds of a log at level FINE. */
  private static final int PRINTED_LINES = 60;

  private Path directory;

  /** Returns the directory of the current test. */
  Path path() {
    return directory;
  }

  @Override
  public void beforeEach(ExtensionContext context) throws IOException {
    String test = context.getRequiredTestClass().getSimpleName();
    Files.createDirectories(PARENT);
    directory = Files.createTempDirectory(PARENT.toAbsolutePath(), test + "-");
  }

  @Override
  public void afterEach(ExtensionContext context) throws IOException {
    if (context.getExecutionException().isEmpty()) {
      Directories.delete(directory);
      return;
    }
    System.out.println("files of failed test " + context.getDisplayName() + ": " + directory);
    try (Stream<Path> files = Files.walk(directory)) {
      for (Path log : files.filter(RunDirectory::isGatewayLog).sorted().toList()) {
        printLastLines(log);
      }
    }
  }

  private static boolean isGatewayLog(Path file) {
    return file.getFileName().toString().equals(GatewayLogs.FILE_NAME);
  }

  private static void printLastLines(Path log) throws IOException {
    List<String> lines = Files.readAllLines(log);
    System.out.println("--- " + log);
    lines
        .subList(Math.max(0, lines.size() - PRINTED_LINES), lines.size())
        .forEach(System.out::println);
  }
}
