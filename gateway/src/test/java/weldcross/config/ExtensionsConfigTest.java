package weldcross.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldcross.mesh.PeerName;

class ExtensionsConfigTest {

  private static final String TEXT =
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

  @TempDir private Path folder;

  private ExtensionsConfig read(String text) throws IOException {
    Path file = folder.resolve("parts.toml");
    Files.writeString(file, text);
    return ExtensionsConfig.read(file.toString(), GatewayConfig.read("deploy/example.json"));
  }

  @Test
  void readsALinkWithItsPeersInTheirOrder() throws IOException {
    ExtensionsConfig terms = read(TEXT);
    assertEquals(new PeerName("n0"), terms.link().self());
    assertEquals("[n1, n2]", terms.link().peers().toString());
    assertEquals(7002, terms.places().connectAddresses().get(new PeerName("n2")).getPort());
    assertEquals(600, terms.link().heartbeatTimeout().toMillis());
  }

  @Test
  void withoutATableItsPartDoesNotJoin() throws IOException {
    assertNull(read("directory = 'var'").link());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "beat_ms = 100 | beat_ms = 5 | link.beat_ms (line 6): found '5', allowed is a number from 10 on",
        "cluster = \"here\" | colour = 1 | link.colour (line 4): found a key that nobody reads",
        "7002\" | 7002x\" | link.peers.1.call (line 14): found '127.0.0.1:7002x', allowed is an address",
        "\"n2\" | \"n1\" | link.peers.1.name (line 13): found 'n1', allowed is a name that no other gateway has",
        "name = \"n2\" | nome = \"n2\" | link.peers.1.nome (line 13): found a key that nobody reads",
        "directory = | directory | (line 1)",
        "beat_ms = 100 | stalled_after_ms = 100 | link.stalled_after_ms (line 6): found '100', allowed is at least"
      })
  void faultNamesItsKeyAndLine(String from, String to, String said) {
    String message =
        assertThrows(InvalidConfigException.class, () -> read(TEXT.replace(from, to))).getMessage();
    assertEquals(true, message.contains(said), message);
  }

  private static final String AGREED =
      TEXT.replace("7001\"", "7001\"\ntell = \"127.0.0.1:7001\"")
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

  @Test
  void readsWhoVotesInOneOrderEverywhere() throws IOException {
    ExtensionsConfig terms = read(AGREED);
    assertEquals("here/n0,n1,n2", terms.agreement().group());
    assertEquals(true, terms.agreement().isVoter());
    assertEquals(300, terms.agreement().part());
    assertEquals(3, terms.agreement().silence().toSeconds());
    assertEquals(7100, terms.control().getPort());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"n2\", \"n0\", | \"n2\", | agreement.voters (line 22): found 'n2,n1', allowed is 1, 3, 5 or 7",
        "\"n0\", \"n1\"] | \"n0\", \"n9\"] | allowed is this gateway and those of link.peers, each once",
        "silence_s = 3 | silence_s = 0 | agreement.silence_s (line 23): found '0'",
        "silence_s = 3 | heartbeat_s = 2 | agreement.silence_s",
        "part = 300 | | agreement.voters (line 22): found 'n2,n0,n1', allowed is only with a [membership]",
        "127.0.0.1:7100 | 10.0.0.1:7100 | control.listen (line 26): found '10.0.0.1:7100', allowed is an address of the"
      })
  void faultOfTheAgreementNamesItsKey(String from, String to, String said) {
    String message =
        assertThrows(
                InvalidConfigException.class,
                () -> read(AGREED.replace(from, to == null ? "" : to)))
            .getMessage();
    assertEquals(true, message.contains(said), message);
  }
}
