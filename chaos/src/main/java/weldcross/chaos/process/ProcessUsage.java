package weldcross.chaos.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * What a process uses of the system at a moment.
 *
 * @param residentKilobytes its resident memory
 * @param descriptors its open descriptors
 */
public record ProcessUsage(long residentKilobytes, int descriptors) {

  private static final String RESIDENT = "VmRSS:";

  /**
   * Looks at a running process.
   *
   * @param process that runs
   * @return its usage now
   * @throws IOException if the process has ended
   */
  public static ProcessUsage of(ManagedProcess process) throws IOException {
    Path directory = Path.of("/proc", Long.toString(process.id()));
    long resident = 0;
    for (String line : Files.readAllLines(directory.resolve("status"))) {
      if (line.startsWith(RESIDENT)) {
        resident = Long.parseLong(line.replaceAll("[^0-9]", ""));
      }
    }
    try (Stream<Path> descriptors = Files.list(directory.resolve("fd"))) {
      return new ProcessUsage(resident, (int) descriptors.count());
    }
  }

  /**
   * Describes it for a reader.
   *
   * @return memory and descriptors
   */
  public String describe() {
    return residentKilobytes / 1024 + " MB, " + descriptors + " descriptors";
  }
}
