package weldcross.chaos.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * The resources that a process uses at one point in time.
 *
 * @param residentKilobytes the resident set size
 * @param descriptors the number of open file descriptors
 */
public record ProcessUsage(long residentKilobytes, int descriptors) {

  private static final String RESIDENT_SET_SIZE = "VmRSS:";

  /**
   * Reads the current usage of a process from {@code /proc}.
   *
   * @param process a running process
   * @return the current usage
   * @throws IOException if the process has exited
   */
  public static ProcessUsage of(ManagedProcess process) throws IOException {
    Path directory = Path.of("/proc", Long.toString(process.id()));
    long resident = 0;
    for (String line : Files.readAllLines(directory.resolve("status"))) {
      if (line.startsWith(RESIDENT_SET_SIZE)) {
        resident = Long.parseLong(line.replaceAll("[^0-9]", ""));
      }
    }
    try (Stream<Path> descriptors = Files.list(directory.resolve("fd"))) {
      return new ProcessUsage(resident, (int) descriptors.count());
    }
  }

  /**
   * Returns the usage as readable text.
   *
   * @return memory and descriptors
   */
  public String describe() {
    return residentKilobytes / 1024 + " MB, " + descriptors + " descriptors";
  }
}
