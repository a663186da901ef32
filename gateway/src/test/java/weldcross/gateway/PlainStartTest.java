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

/** Which classes a start without extensions loads. */
@Timeout(60)
class PlainStartTest {

  /** What {@code run} starts loads no class of an extension, nor of what only extensions need. */
  @Test
  void plainStartLoadsNoClassOfAnExtension(@TempDir Path folder) throws Exception {
    List<String> plain = loaded(folder, "serve");
    assertTrue(
        plain.stream().anyMatch(l -> l.contains("weldcross.gateway.Gateway ")),
        "classes are logged");
    List<String> extensionClasses =
        plain.stream()
            .filter(
                l ->
                    l.matches(
                        ".*\\b(weldcross\\.(mesh|membership|consensus|control|storage|chaos)\\."
                            + "|com\\.google\\.protobuf|org\\.tomlj|org\\.antlr"
                            + "|weldcross\\.cli\\.ExtensionLoader"
                            + "|weldcross\\.config\\.(ExtensionsConfig|TomlConfigParser)).*"))
            .toList();
    assertEquals(List.of(), extensionClasses);
    Path with = folder.resolve("parts.toml");
    Files.writeString(
        with,
        "directory = \""
            + folder.resolve("kept")
            + "\"\n[link]\ncluster = \"c\"\n"
            + "listen = \"127.0.0.1:0\"\n");
    assertTrue(
        loaded(folder, "serve", "--with", with.toString()).stream()
            .anyMatch(l -> l.contains("weldcross.mesh.PeerConnectionManager ")),
        "with one they are");
  }

  /** Class names that a process of its own loads until its port is open. */
  private List<String> loaded(Path folder, String... arguments) throws Exception {
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        Files.readString(Path.of("deploy/example.json")).replace("127.0.0.1:6543", "127.0.0.1:0"));
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + folder.resolve("classes"),
                "-cp",
                System.getProperty("java.class.path"),
                "weldcross.Main"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("NODE_CONFIG", config.toString());
    Process process = builder.start();
    try (BufferedReader log = process.inputReader()) {
      List<String> said = new ArrayList<>();
      for (String line = log.readLine();
          line != null && !line.contains("discovery failed");
          line = log.readLine()) {
        said.add(line);
      }
      assertTrue(process.isAlive(), said.toString());
    } finally {
      process.destroyForcibly().waitFor();
    }
    return Files.readAllLines(folder.resolve("classes"));
  }
}
