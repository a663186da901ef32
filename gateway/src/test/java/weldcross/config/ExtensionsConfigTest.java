package weldcross.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldcross.mesh.PeerName;

class ExtensionsConfigTest {

  private static final String MESH =
      """
            directory = "var/n0"

            [link]
            cluster = "here"
            listen = "127.0.0.1:7000"
            beat_ms = 100

            [[link.peers]]
            name = "n1"
            call = "127.0.0.1:7001"

            [[link.peers]]
            name = "n2"
            call = "127.0.0.1:7002"
            """;

  private static final String WITH_CONSENSUS =
      MESH.replace("7001\"", "7001\"\ntell = \"127.0.0.1:7001\"")
              .replace("7002\"", "7002\"\ntell = \"127.0.0.1:7002\"")
          + """

            [membership]
            part = 300

            [agreement]
            voters = ["n2", "n0", "n1"]
            silence_s = 3

            [control]
            listen = "127.0.0.1:7100"
            """;

  @TempDir private Path directory;

  private ExtensionsConfig read(String text) throws IOException {
    Path file = directory.resolve("parts.toml");
    Files.writeString(file, text);
    return ExtensionsConfig.read(file.toString(), GatewayConfig.read("deploy/example.json"));
  }

  @Test
  void readReturnsMeshWithPeersInFileOrder() throws IOException {
    ExtensionsConfig config = read(MESH);
    assertEquals(new PeerName("n0"), config.mesh().orElseThrow().config().self());
    assertEquals("[n1, n2]", config.mesh().orElseThrow().config().peers().toString());
    assertEquals(
        7002,
        config
            .mesh()
            .orElseThrow()
            .addresses()
            .connectAddresses()
            .get(new PeerName("n2"))
            .getPort());
    assertEquals(600, config.mesh().orElseThrow().config().heartbeatTimeout().toMillis());
  }

  @Test
  void extensionOfAbsentTableIsNotLoaded() throws IOException {
    assertEquals(Optional.empty(), read("directory = 'var'").mesh());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "beat_ms = 100 | beat_ms = 5 |"
            + " link.beat_ms (line 6): found '5', allowed is a number of at least 10",
        "cluster = \"here\" | colour = 1 | link.colour (line 4): found an unknown key",
        "7002\" | 7002x\" |"
            + " link.peers.1.call (line 14): found '127.0.0.1:7002x', allowed is an address",
        "\"n2\" | \"n1\" |"
            + " link.peers.1.name (line 13): found 'n1', allowed is a name that is unique "
            + "among the gateways",
        "name = \"n2\" | nome = \"n2\" |" + " link.peers.1.nome (line 13): found an unknown key",
        "directory = | directory | (line 1)",
        "beat_ms = 100 | stalled_after_ms = 100 |"
            + " link.stalled_after_ms (line 6): found '100', allowed is at least"
      })
  void invalidValueIsReportedWithKeyAndLine(String from, String to, String expected) {
    String message =
        assertThrows(InvalidConfigException.class, () -> read(MESH.replace(from, to))).getMessage();
    assertTrue(message.contains(expected), message);
  }

  @Test
  void votersAreSorted() throws IOException {
    ExtensionsConfig config = read(WITH_CONSENSUS);
    assertEquals("here/n0,n1,n2", config.consensus().orElseThrow().group());
    assertTrue(config.consensus().orElseThrow().isVoter());
    assertEquals(300, config.consensus().orElseThrow().weight());
    assertEquals(3, config.consensus().orElseThrow().leaderTimeout().toSeconds());
    assertEquals(7100, config.controlAddress().orElseThrow().getPort());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"n2\", \"n0\", | \"n2\", |"
            + " agreement.voters (line 22): found 'n2,n1', allowed is 1, 3, 5 or 7",
        "\"n0\", \"n1\"] | \"n0\", \"n9\"] |"
            + " allowed is a list of distinct names of this gateway and of link.peers",
        "silence_s = 3 | silence_s = 0 | agreement.silence_s (line 23): found '0'",
        "silence_s = 3 | heartbeat_s = 2 | agreement.silence_s",
        "part = 300 | |"
            + " agreement.voters (line 22): found 'n2,n0,n1', allowed is only with a "
            + "[membership]",
        "127.0.0.1:7100 | 10.0.0.1:7100 |"
            + " control.listen (line 26): found '10.0.0.1:7100', allowed is a loopback address"
      })
  void invalidConsensusValueIsReportedWithKeyAndLine(String from, String to, String expected) {
    String message =
        assertThrows(
                InvalidConfigException.class,
                () -> read(WITH_CONSENSUS.replace(from, to == null ? "" : to)))
            .getMessage();
    assertTrue(message.contains(expected), message);
  }
}
