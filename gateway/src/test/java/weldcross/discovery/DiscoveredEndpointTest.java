package weldcross.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import weldcross.config.ConfigValues;
import weldcross.config.InvalidConfigException;
import weldcross.routing.EndpointStatus;

class DiscoveredEndpointTest {

  private static final String ENTRY =
      "{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:6543\",\"locality\":\"b\","
          + "\"flavor\":\"m2\",\"cell\":3,\"phase\":\"leaving\",\"size\":1.0,\"up_since_ms\":17}";

  @Test
  void validEntryIsReadWithZoneIndex() {
    DiscoveredEndpoint endpoint = read(ENTRY).get(0);
    assertEquals(
        List.of("s-1", 1, 3, EndpointStatus.DRAINING, 17L),
        List.of(
            endpoint.id(),
            endpoint.zone(),
            endpoint.group(),
            endpoint.status(),
            endpoint.startedAtMillis()));
    assertEquals(6543, endpoint.address().getPort());
    assertTrue(read().isEmpty());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"phase\":\"leaving\"|\"phase\":\"asleep\"|members.1.phase",
        "\"id\":\"s-1\",||members.1.id",
        "127.0.0.1:6543|somewhere:6543|members.1.host_port",
        "127.0.0.1:6543|127.0.0.1:99999|members.1.host_port",
        "\"cell\":3|\"cell\":\"x\"|members.1.cell",
        "17|-1|members.1.up_since_ms"
      })
  void invalidEntryRejectsWholeList(String part, String replacement, String key) {
    String invalidEntry = ENTRY.replace(part, replacement == null ? "" : replacement);
    InvalidConfigException exception =
        assertThrows(InvalidConfigException.class, () -> read(ENTRY, invalidEntry));
    assertTrue(exception.getMessage().startsWith(key + ": found "), exception.getMessage());
  }

  private static List<DiscoveredEndpoint> read(String... entries) {
    String text =
        "{\"revision\":41,\"complete\":true,\"members\":[" + String.join(",", entries) + "]}";
    return DiscoveredEndpoint.read(
        ConfigValues.ofJson(text.getBytes(StandardCharsets.UTF_8)), List.of("a", "b"));
  }
}
