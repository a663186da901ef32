package weldcross.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.Idempotency;
import weldcross.routing.RoutingConfig;

class GatewayConfigTest {

  @TempDir private Path directory;

  @Test
  void jsonAndSimulatorSettingsGiveTheSameConfig() throws IOException {
    RoutingConfig fromJson =
        GatewayConfig.of(ConfigValues.ofJson(example().getBytes(StandardCharsets.UTF_8))).routing();
    String simulatorLine =
        "INIT 3 17 nInstances=1 myZone=0 discovery=pushed categories.count=2 "
            + "categories.0.effect=idempotent "
            + "categories.0.target=300000 categories.0.worth=1 categories.0.lateWorth=0.2 "
            + "categories.1.effect=at_most_once categories.1.target=600000 categories.1.worth=3.0 "
            + "categories.1.lateWorth=0.5 familyInfo.freshness=session,write "
            + "familyInfo.lagAllowed=0,0 "
            + "familyInfo.tokenMode=remembered bounds.tryLimit=10 bounds.cancel=1 "
            + "bounds.mayProbe=true "
            + "bounds.parallelTries=true bounds.retryAfter=true bounds.maxRetryAfter=500000 "
            + "invariants.mustAskIn=10000000 invariants.coldFrom=0.3 invariants.cold=17000000 "
            + "invariants.fallMultiple=2 invariants.fall=1000000";
    assertEquals(
        fromJson, RoutingConfigReader.read(ConfigValues.ofPairs(simulatorLine.split(" "), 3)));
    assertEquals(
        List.of(Consistency.SESSION, Consistency.WRITE),
        fromJson.requestClasses().stream().map(m -> m.consistency()).toList());
    assertEquals(Idempotency.NON_IDEMPOTENT, fromJson.requestClasses().get(1).idempotency());
    assertEquals(Duration.ofMillis(500), fromJson.maxRetryAfter());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"name\": \"n0\",||name: found nothing",
        "127.0.0.1:6543|127.0.0.1|listen: found '127.0.0.1'",
        "127.0.0.1:8500|discovery.example:8500|discovery: found 'discovery.example:8500'",
        "8c1f30d27a5be964|eight|seed: found 'eight'",
        "\"sockets\": 1024|\"sockets\": 8|limits.sockets: found '8'",
        "\"tryLimit\": 10|\"tryLimit\": \"ten\"|"
            + "settings.bounds.tryLimit: found 'ten', allowed is a number",
        "\"tryLimit\": 10|\"tryLimit\": 0|"
            + "settings.bounds.tryLimit: found '0', allowed is a number of at least 1",
        "\"cancel\": true|\"cancel\": \"perhaps\"|"
            + "settings.bounds.cancel: found 'perhaps', allowed is "
            + "true or false",
        "\"idleClose\": 30000000|\"idleClose\": -1|settings.bounds.idleClose: found '-1'",
        "\"session\", \"write\"|\"session\", \"eventual\"|"
            + "settings.familyInfo.freshness: found 'session,"
            + "eventual'",
        "[0, 0]|[0, \"x\"]|settings.familyInfo.lagAllowed: found '0,x'",
        "remembered|forgotten|settings.familyInfo.tokenMode: found 'forgotten'",
        "at_most_once|sometimes|settings.categories.1.effect: found 'sometimes'",
        "\"worth\": 3.0|\"worth\": -3|settings.categories.1.worth: found '-3'",
        "\"name\": \"entry-write\", ||settings.categories.1.name: found nothing",
        "\"categories\"|\"methods\"|"
            + "settings.categories: found nothing, allowed is a list of request classes",
        "\"source\": \"probe\"|\"source\": \"rumour\"|settings.report.source: found 'rumour'",
        "\"pushed\"|\"shouted\"|settings.discovery: found 'shouted'",
        "{\"name\": \"acme\"}|{\"label\": \"acme\"}|settings.tenants.0.name: found nothing"
      })
  void invalidValueIsReportedWithItsKey(String part, String replacement, String message)
      throws IOException {
    String text = example();
    assertTrue(text.contains(part), "part not found in the example: " + part);
    byte[] invalid =
        text.replace(part, replacement == null ? "" : replacement).getBytes(StandardCharsets.UTF_8);
    InvalidConfigException exception =
        assertThrows(
            InvalidConfigException.class, () -> GatewayConfig.of(ConfigValues.ofJson(invalid)));
    assertTrue(exception.getMessage().startsWith(message), exception.getMessage());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "[]", "{\"a\":", "{} {}", "{'a': 1}", "nonsense"})
  void textThatIsNotJsonObjectIsRejected(String text) {
    InvalidConfigException exception =
        assertThrows(
            InvalidConfigException.class,
            () -> ConfigValues.ofJson(text.getBytes(StandardCharsets.UTF_8)));
    assertTrue(exception.getMessage().startsWith("not "), exception.getMessage());
  }

  @Test
  void environmentProvidesFilePathAndDefaultsOfAbsentKeys() throws IOException {
    Path file = directory.resolve("config.json");
    Files.writeString(file, example().replace("\"name\": \"n0\",", ""));
    assertEquals(
        "n7", GatewayConfig.read(Map.of("NODE_CONFIG", file.toString(), "NODE_NAME", "n7")).name());
    for (String path : List.of("", directory.resolve("absent").toString(), directory.toString())) {
      InvalidConfigException exception =
          assertThrows(
              InvalidConfigException.class, () -> GatewayConfig.read(Map.of("NODE_CONFIG", path)));
      assertTrue(exception.getMessage().startsWith("NODE_CONFIG: found "), exception.getMessage());
    }
  }

  @Test
  void unknownKeysAreIgnored() throws IOException {
    String extended =
        example()
            .replace(
                "\"nInstances\"", "\"colour\": {\"of\": [1, null, {\"x\": []}]}, \"nInstances\"");
    assertEquals(
        2,
        GatewayConfig.of(ConfigValues.ofJson(extended.getBytes(StandardCharsets.UTF_8)))
            .requestClassNames()
            .size());
  }

  private static String example() throws IOException {
    return Files.readString(Path.of("deploy/example.json"));
  }
}
