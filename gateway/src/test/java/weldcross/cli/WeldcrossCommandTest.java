package weldcross.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WeldcrossCommandTest {

  private final PrintStream originalOut = System.out;
  private final PrintStream originalErr = System.err;
  private final InputStream originalIn = System.in;
  private final ByteArrayOutputStream standardOutput = new ByteArrayOutputStream();
  private final ByteArrayOutputStream standardError = new ByteArrayOutputStream();

  @BeforeEach
  void captureStreams() {
    System.setOut(new PrintStream(standardOutput, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(standardError, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void restoreStreams() {
    System.setOut(originalOut);
    System.setErr(originalErr);
    System.setIn(originalIn);
  }

  @Test
  void checkPrintsConfigurationSummary() {
    assertEquals(ExitStatus.OK, WeldcrossCommand.run("check", "deploy/example.json"));
    String text = standardOutput.toString(StandardCharsets.UTF_8);
    assertTrue(
        text.contains("n0") && text.contains("127.0.0.1:6543") && text.contains("entry-write"),
        text);
  }

  @Test
  void checkReportsInvalidKeyInOneLine(@TempDir Path directory) throws Exception {
    Path file = directory.resolve("c.json");
    Files.writeString(
        file,
        Files.readString(Path.of("deploy/example.json"))
            .replace("\"tryLimit\": 10", "\"tryLimit\": 0"));
    assertEquals(ExitStatus.INVALID_CONFIG, WeldcrossCommand.run("check", file.toString()));
    assertEquals(
        "weldcross: settings.bounds.tryLimit: found '0', allowed is a number of at least 1\n",
        standardError.toString(StandardCharsets.UTF_8));
  }

  @Test
  void serveWithoutConfigurationFileFails() {
    assertEquals(ExitStatus.INVALID_CONFIG, WeldcrossCommand.run("serve"));
    assertTrue(
        standardError.toString(StandardCharsets.UTF_8).contains("NODE_CONFIG: found nothing"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"self-test", "rehearse"})
  void selfTestSucceedsUnderBothNames(String command) {
    assertEquals(ExitStatus.OK, WeldcrossCommand.run(command, "deploy/example.json"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"simulate", "wirehost"})
  void simulateSucceedsUnderBothNames(String command) {
    System.setIn(new ByteArrayInputStream("BATCH 1\nYOUR_TURN\n".getBytes(StandardCharsets.UTF_8)));
    assertEquals(ExitStatus.OK, WeldcrossCommand.run(command));
    assertEquals("YIELD\n", standardOutput.toString(StandardCharsets.UTF_8));
    System.setIn(new ByteArrayInputStream("HELLO\n".getBytes(StandardCharsets.UTF_8)));
    assertEquals(ExitStatus.INVALID_CONFIG, WeldcrossCommand.run(command));
  }

  @Test
  void versionIsThatOfTheBuild() {
    assertEquals(ExitStatus.OK, WeldcrossCommand.run("version"));
    assertTrue(
        standardOutput
            .toString(StandardCharsets.UTF_8)
            .matches("weldcross \\d+\\.\\d+\\.\\d+(-\\w+)?\\R"),
        standardOutput.toString(UTF_8));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "dance",
        "serve --loud",
        "serve --log LOUDLY",
        "check a b",
        "self-test",
        "rehearse",
        "simulate x",
        "version x",
        "cluster",
        "cluster status",
        "cluster forget n1 --at 127.0.0.1:1"
      })
  void invalidArgumentsPrintUsageAndFail(String line) {
    assertEquals(
        ExitStatus.USAGE, WeldcrossCommand.run(line.isEmpty() ? new String[0] : line.split(" ")));
    assertTrue(standardError.toString(StandardCharsets.UTF_8).contains("Usage: weldcross"));
    assertTrue(standardOutput.toString(StandardCharsets.UTF_8).isEmpty());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "--help",
        "serve --help",
        "check --help",
        "self-test --help",
        "rehearse --help",
        "simulate --help",
        "wirehost --help",
        "version --help",
        "cluster forget --help"
      })
  void helpPrintsUsageAndSucceeds(String line) {
    assertEquals(ExitStatus.OK, WeldcrossCommand.run(line.split(" ")));
    assertTrue(standardOutput.toString(StandardCharsets.UTF_8).startsWith("Usage: weldcross"));
  }

  @Test
  void usageHidesDeprecatedCommandNames() {
    assertEquals(ExitStatus.OK, WeldcrossCommand.run("--help"));
    String usage = standardOutput.toString(StandardCharsets.UTF_8);
    assertTrue(usage.contains("self-test") && usage.contains("simulate"), usage);
    assertFalse(usage.contains("rehearse") || usage.contains("wirehost"), usage);
  }

  @Test
  void logRecordIsOneLine() {
    LogRecord record = new LogRecord(Level.WARNING, "list {0}");
    record.setLoggerName("weldcross.gateway.DiscoveryWatcher");
    record.setParameters(new Object[] {7});
    String line = new LogFormatter().format(record);
    assertTrue(line.endsWith("Z WARNING DiscoveryWatcher: list 7\n"), line);
    assertFalse(line.strip().contains("\n"));
  }
}
