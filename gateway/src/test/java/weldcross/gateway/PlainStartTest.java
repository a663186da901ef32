package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The classes that a start without extensions loads. */
@Timeout(60)
class PlainStartTest {

  /** Neither the classes of extensions nor those of libraries that only extensions use. */
  @Test
  void plainStartLoadsNoExtensionClasses(@TempDir Path directory) throws Exception {
    List<String> plainStart = loadedClasses(directory, "serve");
    assertTrue(
        plainStart.stream().anyMatch(line -> line.contains("weldcross.gateway.Gateway ")),
        "classes are logged");
    List<String> extensionClasses =
        plainStart.stream()
            .filter(
                line ->
                    line.matches(
                        ".*\\b(weldcross\\.(mesh|membership|consensus|control|storage|chaos)\\."
                            + "|com\\.google\\.protobuf|org\\.tomlj|org\\.antlr"
                            + "|weldcross\\.cli\\.ExtensionLoader"
                            + "|weldcross\\.config\\.(ExtensionsConfig|TomlConfigParser)).*"))
            .toList();
    assertEquals(List.of(), extensionClasses);
    Path extensionsConfig = directory.resolve("parts.toml");
    Files.writeString(
        extensionsConfig,
        "directory = \""
            + directory.resolve("kept")
            + "\"\n[link]\ncluster = \"c\"\n"
            + "listen = \"127.0.0.1:0\"\n");
    assertTrue(
        loadedClasses(directory, "serve", "--with", extensionsConfig.toString()).stream()
            .anyMatch(line -> line.contains("weldcross.mesh.PeerConnectionManager ")),
        "loaded with an extension");
  }

  /**
   * Returns the class loading log of a separate gateway process up to its first discovery failure.
   */
  private List<String> loadedClasses(Path directory, String... arguments) throws Exception {
    Path config = directory.resolve("config.json");
    Files.writeString(
        config,
        Files.readString(Path.of("deploy/example.json")).replace("127.0.0.1:6543", "127.0.0.1:0"));
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + directory.resolve("classes"),
                "-cp",
                System.getProperty("java.class.path"),
                "weldcross.Main"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("NODE_CONFIG", config.toString());
    Process process = builder.start();
    try (BufferedReader log = process.inputReader()) {
      List<String> output = new ArrayList<>();
      for (String line = log.readLine();
          line != null && !line.contains("discovery failed");
          line = log.readLine()) {
        output.add(line);
      }
      assertTrue(process.isAlive(), output.toString());
    } finally {
      process.destroyForcibly().waitFor();
    }
    return Files.readAllLines(directory.resolve("classes"));
  }
}
