package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.config.ConfigValues;
import weldcross.config.InvalidConfigException;

class EndpointListUpdaterTest {

  private static final Duration MAX_POLL_INTERVAL = Duration.ofSeconds(10);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  private final GatewayHarness harness = GatewayHarness.serving();
  private final EndpointListUpdater updater =
      new EndpointListUpdater(harness.gateway, List.of("a"), MAX_POLL_INTERVAL);
  private final DiscoverySession session =
      new DiscoverySession(
          harness.gateway,
          harness,
          DiscoverySession.Timeouts.of(CONNECT_TIMEOUT, MAX_POLL_INTERVAL, false),
          false,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
          (failed, reason, responseTimedOut) -> {});

  @BeforeEach
  void applyRevisionFive() {
    assertEquals(5, updater.apply(session, list(5, true, "active")));
  }

  private static ConfigValues list(int revision, boolean complete, String phase) {
    String text =
        "{\"revision\":"
            + revision
            + ",\"complete\":"
            + complete
            + ",\"members\":["
            + TestConfig.member(1, phase)
            + "]}";
    return ConfigValues.ofJson(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Applies a list within an event, so that the gateway uses the time of the harness's clock. */
  private List<String> loggedWhileApplying(ConfigValues list) {
    return GatewayHarness.logged(() -> harness.dispatch(gateway -> updater.apply(session, list)));
  }

  private static boolean isUpdateLogged(List<String> lines, int revision) {
    return lines.stream()
        .anyMatch(line -> line.startsWith("endpoint list updated: revision=" + revision + " "));
  }

  @Test
  void newerListIsApplied() {
    List<String> lines =
        GatewayHarness.logged(
            () -> assertEquals(6, updater.apply(session, list(6, false, "leaving"))));
    assertTrue(isUpdateLogged(lines, 6), lines.toString());
    assertNull(session.staleSince);
  }

  @Test
  void olderListIsNotApplied() {
    List<String> lines =
        GatewayHarness.logged(
            () -> assertEquals(4, updater.apply(session, list(4, true, "active"))));
    assertFalse(isUpdateLogged(lines, 4), lines.toString());
    assertEquals(harness.gateway.now(), session.staleSince);
  }

  @Test
  void completeOlderListIsAppliedAfterMaxPollInterval() {
    updater.apply(session, list(4, true, "active"));
    harness.advance((int) MAX_POLL_INTERVAL.toMillis());
    List<String> lines = loggedWhileApplying(list(4, true, "active"));
    assertTrue(isUpdateLogged(lines, 4), lines.toString());
  }

  @Test
  void incrementalOlderListIsNotAppliedAfterMaxPollInterval() {
    updater.apply(session, list(4, false, "active"));
    harness.advance((int) MAX_POLL_INTERVAL.toMillis());
    List<String> lines = loggedWhileApplying(list(4, false, "active"));
    assertFalse(isUpdateLogged(lines, 4), lines.toString());
    assertNotNull(session.staleSince);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "{\"revision\":6}",
        "{\"revision\":6,\"complete\":true}",
        "{\"complete\":true,\"members\":[]}",
        "{\"revision\":6,\"members\":[]}"
      })
  void responseWithoutListIsRejected(String text) {
    ConfigValues values = ConfigValues.ofJson(text.getBytes(StandardCharsets.UTF_8));
    assertThrows(InvalidConfigException.class, () -> updater.apply(session, values));
  }
}
