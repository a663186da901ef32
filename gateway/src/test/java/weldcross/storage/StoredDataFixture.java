package weldcross.storage;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Directories of stored data that an earlier build wrote, as test resources. */
public final class StoredDataFixture {

  private StoredDataFixture() {}

  /**
   * Copies a directory of test resources, as opening a log rewrites its last segment.
   *
   * @param resource an absolute resource path
   * @param into the directory that receives the files; created if absent
   * @return {@code into}
   */
  public static Path copy(String resource, Path into) throws IOException {
    Files.createDirectories(into);
    try (Stream<Path> files =
        Files.list(Path.of(StoredDataFixture.class.getResource(resource).toURI()))) {
      for (Path file : files.toList()) {
        Files.copy(file, into.resolve(file.getFileName()));
      }
    } catch (URISyntaxException e) {
      throw new IOException("resource " + resource + " is not a directory", e);
    }
    return into;
  }
}
