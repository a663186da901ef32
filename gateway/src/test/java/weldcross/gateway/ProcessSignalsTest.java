package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Signals to a gateway in a process of its own. */
@Timeout(60)
class ProcessSignalsTest {

  /**
   * A process of its own: a reload at SIGHUP of a faulty configuration, then of a valid one, and a
   * stop at SIGTERM.
   */
  @Test
  void processReloadsAtSighupAndExitsWithZeroAtSigterm(@TempDir Path folder) throws Exception {
    Path config = folder.resolve("config.json");
    Process process = process(config);
    try (BufferedReader log = process.inputReader()) {
      await(log, "STARTING to LISTENING");
      Files.writeString(config, "{\"name\":");
      hangUp(process);
      await(
          log,
          "configuration reload failed, keeping the current configuration: reason=NODE_CONFIG");
      Files.writeString(
          config,
          Files.readString(Path.of("deploy/example.json"))
              .replace("127.0.0.1:8500", "127.0.0.1:2")
              .replace("192", "128"));
      hangUp(process);
      await(log, "configuration reloaded");
      await(log, "discovery address changed: endpoint=127.0.0.1:2");
      process.toHandle().destroy();
      List<String> rest = log.lines().toList();
      assertTrue(rest.stream().anyMatch(l -> l.contains("to DRAINING")), rest.toString());
      assertTrue(rest.stream().anyMatch(l -> l.contains("stopped: 0 accepted")), rest.toString());
      assertEquals(0, process.waitFor());
    } finally {
      process.destroyForcibly();
    }
  }

  /** Whoever reloads the configuration has to learn that nothing will happen. */
  @Test
  void processWithSighupIgnoredLogsIt(@TempDir Path folder) throws Exception {
    Process process =
        process(folder.resolve("config.json"), "sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    try (BufferedReader log = process.inputReader()) {
      List<String> said = new ArrayList<>();
      for (String line = log.readLine();
          line != null && !line.contains("STARTING to LISTENING");
          line = log.readLine()) {
        said.add(line);
      }
      assertTrue(
          said.stream().anyMatch(l -> l.contains("SIGHUP is ignored from the start")),
          said.toString());
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * Serves with the example's configuration, written there, and a discovery that does not exist.
   */
  private static Process process(Path config, String... before) throws IOException {
    Files.writeString(
        config,
        Files.readString(Path.of("deploy/example.json"))
            .replace("127.0.0.1:6543", "127.0.0.1:0")
            .replace("127.0.0.1:8500", "127.0.0.1:1"));
    List<String> command = new ArrayList<>(List.of(before));
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "weldcross.Main",
            "serve"));
    ProcessBuilder start = new ProcessBuilder(command);
    start.environment().put("NODE_CONFIG", config.toString());
    return start.redirectErrorStream(true).start();
  }

  private static void hangUp(Process process) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private static void await(BufferedReader log, String text) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains(text)) {
      line = log.readLine();
    }
    assertTrue(line != null, "not logged: " + text);
  }
}
