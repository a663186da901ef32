package weldcross.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Copies and deletes directories recursively. */
final class Directories {

  private Directories() {}

  /** Replaces the target with a copy of the source; deletes it if the source does not exist. */
  static void copy(Path source, Path target) throws IOException {
    delete(target);
    if (Files.exists(source)) {
      for (Path path : walk(source)) {
        Files.copy(path, target.resolve(source.relativize(path).toString()));
      }
    }
  }

  /** Deletes a directory with all its contents, if it exists. */
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
