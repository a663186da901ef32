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

/** Signal handling of a gateway that runs in a separate process. */
@Timeout(60)
class ProcessSignalsTest {

  /** An invalid configuration is rejected, a valid one applied, and SIGTERM shuts down. */
  @Test
  void processReloadsOnSighupAndExitsWithZeroOnSigterm(@TempDir Path directory) throws Exception {
    Path config = directory.resolve("config.json");
    Process process = startGateway(config);
    try (BufferedReader log = process.inputReader()) {
      awaitLogLine(log, "STARTING to LISTENING");
      Files.writeString(config, "{\"name\":");
      sendSighup(process);
      awaitLogLine(
          log,
          "configuration reload failed, keeping the current configuration: reason=NODE_CONFIG");
      // Besides the discovery address, a key changes that the gateway does not read.
      Files.writeString(
          config,
          Files.readString(Path.of("deploy/example.json"))
              .replace("127.0.0.1:8500", "127.0.0.1:2")
              .replace("\"memory_mb\": 192", "\"memory_mb\": 128"));
      sendSighup(process);
      awaitLogLine(log, "configuration reloaded");
      awaitLogLine(log, "discovery address changed: endpoint=127.0.0.1:2");
      process.toHandle().destroy();
      List<String> remaining = log.lines().toList();
      assertTrue(
          remaining.stream().anyMatch(line -> line.contains("to DRAINING")), remaining.toString());
      assertTrue(
          remaining.stream().anyMatch(line -> line.contains("stopped: 0 accepted")),
          remaining.toString());
      assertEquals(0, process.waitFor());
    } finally {
      process.destroyForcibly();
    }
  }

  /** An operator who sends SIGHUP must be able to learn that reloads do not work. */
  @Test
  void processStartedWithSighupIgnoredLogsAWarning(@TempDir Path directory) throws Exception {
    Process process =
        startGateway(
            directory.resolve("config.json"), "sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    try (BufferedReader log = process.inputReader()) {
      List<String> lines = new ArrayList<>();
      for (String line = log.readLine();
          line != null && !line.contains("STARTING to LISTENING");
          line = log.readLine()) {
        lines.add(line);
      }
      assertTrue(
          lines.stream().anyMatch(line -> line.contains("process was started with SIGHUP ignored")),
          lines.toString());
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * Starts a gateway with the example configuration and an unreachable discovery.
   *
   * @param config the file to which the configuration is written
   * @param commandPrefix arguments before the gateway's command, such as a shell that runs it
   */
  private static Process startGateway(Path config, String... commandPrefix) throws IOException {
    Files.writeString(
        config,
        Files.readString(Path.of("deploy/example.json"))
            .replace("127.0.0.1:6543", "127.0.0.1:0")
            .replace("127.0.0.1:8500", "127.0.0.1:1"));
    List<String> command = new ArrayList<>(List.of(commandPrefix));
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "weldcross.Main",
            "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("NODE_CONFIG", config.toString());
    return builder.redirectErrorStream(true).start();
  }

  private static void sendSighup(Process process) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private static void awaitLogLine(BufferedReader log, String text) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains(text)) {
      line = log.readLine();
    }
    assertTrue(line != null, "not logged: " + text);
  }
}
