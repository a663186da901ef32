package weldcross.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Copies and deletes directories with all they hold. */
final class Directories {

  private Directories() {}

  /** Replaces a directory by a copy of another; deletes it if there is no other. */
  static void copy(Path from, Path to) throws IOException {
    delete(to);
    if (Files.exists(from)) {
      for (Path path : walk(from)) {
        Files.copy(path, to.resolve(from.relativize(path).toString()));
      }
    }
  }

  /** Deletes a directory, if it exists. */
  static void delete(Path directory) throws IOException {
    if (Files.exists(directory)) {
      for (Path path : walk(directory).stream().sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }

  private static List<Path> walk(Path directory) throws IOException {
    try (Stream<Path> paths = Files.walk(directory)) {
      return paths.sorted().toList();
    }
  }
}
