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

  private final PrintStream out = System.out;
  private final PrintStream err = System.err;
  private final InputStream in = System.in;
  private final ByteArrayOutputStream said = new ByteArrayOutputStream();
  private final ByteArrayOutputStream complained = new ByteArrayOutputStream();

  @BeforeEach
  void listen() {
    System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(complained, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void restore() {
    System.setOut(out);
    System.setErr(err);
    System.setIn(in);
  }

  @Test
  void checkSaysWhatWouldBeServed() {
    assertEquals(WeldcrossCommand.OK, WeldcrossCommand.run("check", "deploy/example.json"));
    String text = said.toString(StandardCharsets.UTF_8);
    assertTrue(
        text.contains("n0") && text.contains("127.0.0.1:6543") && text.contains("entry-write"),
        text);
  }

  @Test
  void checkNamesTheFaultyKeyInOneLine(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("c.json");
    Files.writeString(
        file,
        Files.readString(Path.of("deploy/example.json"))
            .replace("\"tryLimit\": 10", "\"tryLimit\": 0"));
    assertEquals(ServeCommand.FAULTY, WeldcrossCommand.run("check", file.toString()));
    assertEquals(
        "weldcross: settings.bounds.tryLimit: found '0', allowed is a number from 1 on\n",
        complained.toString(StandardCharsets.UTF_8));
  }

  @Test
  void serveWithoutAConfigurationEndsBeforeItListens() {
    assertEquals(ServeCommand.FAULTY, WeldcrossCommand.run("serve"));
    assertTrue(complained.toString(StandardCharsets.UTF_8).contains("NODE_CONFIG: found nothing"));
  }

  @Test
  void rehearsalStartsAnswersAndStops() {
    assertEquals(WeldcrossCommand.OK, WeldcrossCommand.run("rehearse", "deploy/example.json"));
  }

  @Test
  void wirehostAnswersTheBench() {
    System.setIn(new ByteArrayInputStream("BATCH 1\nYOUR_TURN\n".getBytes(StandardCharsets.UTF_8)));
    assertEquals(WeldcrossCommand.OK, WeldcrossCommand.run("wirehost"));
    assertEquals("YIELD\n", said.toString(StandardCharsets.UTF_8));
    System.setIn(new ByteArrayInputStream("HELLO\n".getBytes(StandardCharsets.UTF_8)));
    assertEquals(ServeCommand.FAULTY, WeldcrossCommand.run("wirehost"));
  }

  @Test
  void versionIsTheBuilds() {
    assertEquals(WeldcrossCommand.OK, WeldcrossCommand.run("version"));
    assertTrue(
        said.toString(StandardCharsets.UTF_8).matches("weldcross \\d+\\.\\d+\\.\\d+(-\\w+)?\\R"),
        said.toString(UTF_8));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "dance",
        "serve --loud",
        "serve --log LOUDLY",
        "check a b",
        "rehearse",
        "version x",
        "cluster",
        "cluster status",
        "cluster forget n1 --at 127.0.0.1:1"
      })
  void wrongArgumentsGetUsageAndTwo(String line) {
    assertEquals(
        WeldcrossCommand.USAGE,
        WeldcrossCommand.run(line.isEmpty() ? new String[0] : line.split(" ")));
    assertTrue(complained.toString(StandardCharsets.UTF_8).contains("Usage: weldcross"));
    assertTrue(said.toString(StandardCharsets.UTF_8).isEmpty());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "--help",
        "serve --help",
        "check --help",
        "rehearse --help",
        "wirehost --help",
        "version --help",
        "cluster forget --help"
      })
  void helpIsUsageAndNoFault(String line) {
    assertEquals(WeldcrossCommand.OK, WeldcrossCommand.run(line.split(" ")));
    assertTrue(said.toString(StandardCharsets.UTF_8).startsWith("Usage: weldcross"));
  }

  @Test
  void recordIsOneLine() {
    LogRecord record = new LogRecord(Level.WARNING, "list {0}");
    record.setLoggerName("weldcross.gateway.DiscoveryWatcher");
    record.setParameters(new Object[] {7});
    String line = new LogFormatter().format(record);
    assertTrue(line.endsWith("Z WARNING DiscoveryWatcher: list 7\n"), line);
    assertFalse(line.strip().contains("\n"));
  }
}
