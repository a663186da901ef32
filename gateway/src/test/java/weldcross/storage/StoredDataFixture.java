package weldcross.storage;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Test resources with directories of stored data that an earlier build wrote. */
public final class StoredDataFixture {

  private StoredDataFixture() {}

  /**
   * Copies a directory of test resources, because opening a log rewrites its last segment.
   *
   * @param resource an absolute resource path
   * @param target the directory that receives the files; created if absent
   * @return {@code target}
   */
  public static Path copy(String resource, Path target) throws IOException {
    Files.createDirectories(target);
    try (Stream<Path> files =
        Files.list(Path.of(StoredDataFixture.class.getResource(resource).toURI()))) {
      for (Path file : files.toList()) {
        Files.copy(file, target.resolve(file.getFileName()));
      }
    } catch (URISyntaxException e) {
      throw new IOException("resource " + resource + " is not a directory", e);
    }
    return target;
  }
}
