package weldcross.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.EndpointStatus;
import weldcross.routing.GroupId;
import weldcross.routing.RequestId;
import weldcross.routing.ServerId;
import weldcross.routing.SessionId;
import weldcross.routing.ZoneId;

class SimulatorMessageParserTest {

  private static SimulatorMessage parse(String text) {
    return SimulatorMessageParser.parse(new ProtocolLine(text));
  }

  @Test
  void arrivalIsParsedWithSessionAndRetryFlag() {
    assertEquals(
        new SimulatorMessage.RequestArrival(
            3,
            new RequestId("c:b"),
            0,
            new GroupId(11),
            new SessionId("sess"),
            Duration.ofNanos(412_500_000),
            Duration.ofMillis(240),
            true),
        parse("ARRIVAL 3 c:b 412.5 0 0 240000 sess 11 12000 3"));
  }

  @Test
  void arrivalWithAbsentFieldsHasNoSessionWriteOrRetry() {
    assertEquals(
        new SimulatorMessage.RequestArrival(
            3,
            new RequestId("c:b"),
            1,
            new GroupId(11),
            null,
            Duration.ZERO,
            Duration.ofMillis(240),
            false),
        parse("ARRIVAL 3 c:b - 0 1 240000 - 11.0 12000 -"));
  }

  @Test
  void attemptEndIsParsedWithServerRoleAndPosition() {
    assertEquals(
        new SimulatorMessage.AttemptEnd(
            3,
            new RequestId("c:b"),
            0,
            new ServerId("server_a"),
            AttemptOutcome.OK,
            Duration.ofNanos(18_500_000),
            false,
            6371,
            true,
            null),
        parse("SETTLED 3 c:b server_a 18500 25486 pass 0 1 -"));
  }

  @Test
  void attemptEndWithoutServerStateHasNoRoleOrPosition() {
    SimulatorMessage.AttemptEnd end =
        (SimulatorMessage.AttemptEnd) parse("SETTLED 3 c:b server_a 18500 - cut 2 0 x0:1.5,x1:1");
    assertNull(end.primary());
    assertEquals(0, end.positionMillis());
    assertEquals(2, end.attempt());
    assertEquals("x0:1.5,x1:1", end.report());
  }

  @ParameterizedTest
  @CsvSource({
    "pass, OK",
    "fault, ERROR",
    "no_room, OVERLOADED",
    "too_slow, TIMED_OUT",
    "no_route, UNREACHABLE",
    "cut, CONNECTION_LOST",
    "undone, CANCELLED",
    "stale_send, NOT_SENT",
    "none_here, INELIGIBLE"
  })
  void outcomeIsParsedFromItsProtocolName(String name, AttemptOutcome outcome) {
    SimulatorMessage.AttemptEnd end =
        (SimulatorMessage.AttemptEnd) parse("SETTLED 3 c:b server_a 1 - " + name + " 0 1 -");
    assertEquals(outcome, end.outcome());
  }

  @ParameterizedTest
  @CsvSource({"on, ACTIVE", "fading, DRAINING", "off, REMOVED"})
  void endpointStatusIsParsedFromItsProtocolName(String name, EndpointStatus status) {
    assertEquals(
        new SimulatorMessage.EndpointRow(
            new ServerId("server_a"), new ZoneId(1), new GroupId(11), status, 6_100_000, true),
        SimulatorMessageParser.parseRow(
            new ProtocolLine("ROW server_a 1 0 11 " + name + " 1.5 6100000 1")));
  }

  @ParameterizedTest
  @CsvSource({"cached, true", "delta, false"})
  void endpointListIsCompleteUnlessItIsDelta(String kind, boolean complete) {
    assertEquals(
        new SimulatorMessage.EndpointListReceived(3, complete, 2),
        parse("DIRECTORY_UPDATE 3 " + kind + " 41 2"));
  }

  @Test
  void failedEndpointListHasNoPage() {
    assertEquals(
        new SimulatorMessage.EndpointListFailed(3), parse("DIRECTORY_UPDATE 3 failed 41 -"));
  }

  @Test
  void timersAreDistinguishedByName() {
    assertEquals(new SimulatorMessage.Tick(3), parse("ALARM 3 timer"));
    assertEquals(new SimulatorMessage.TimerDue(3), parse("ALARM 3 due"));
  }

  @Test
  void invalidGossipIsIgnored() {
    assertEquals(new SimulatorMessage.GossipReceived(3, new ServerId("a")), parse("INBOX 3 1 61"));
    assertEquals(new SimulatorMessage.Ignored(3), parse("INBOX 3 1 xyz"));
    assertEquals(new SimulatorMessage.Ignored(3), parse("UNDER_WAY 3 c:b"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "ALARM three timer",
        "ARRIVAL 3 c:b 412.5 0 0 soon sess 11 12000 1",
        "ARRIVAL 3 c:b 412.5 0 0 240000 sess",
        "SETTLED 3 c:b server_a 1 - lucky 0 1 -",
        "SETTLED 3 c:b server_a 1 - pass 0 1",
        "HELLO 3",
        "INIT 3 seed",
        "BATCH now"
      })
  void malformedLineIsReportedWithItsText(String text) {
    SimulatorProtocolException exception =
        assertThrows(SimulatorProtocolException.class, () -> parse(text));
    assertTrue(exception.getMessage().endsWith(": " + text), exception.getMessage());
  }
}
