package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static weldcross.routing.RouterHarness.ms;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.Effect;
import weldcross.routing.RequestClass.Scope;

class EndpointRegistryTest {

  /** A server said to drain gets nothing until a new start. */
  @Test
  void whereRemovalIsNotBindingRemovedServersServeOnAndDrainingOnesDoNot() {
    RouterHarness harness = RouterHarness.withKnownPrimary(RoutingConfigs.fleet(2, false), 7);
    harness.router.beginEndpointList(harness.now, false);
    harness.router.endpointListed(
        harness.now,
        new ListedEndpoint(
            harness.server(0).id,
            new ZoneId(0),
            new GroupId(0),
            EndpointStatus.REMOVED,
            null,
            false));
    harness.router.endEndpointList(harness.now);
    assertEquals("s0", harness.send(Consistency.WRITE).serverName());
    harness.server(0).listedStatus = EndpointStatus.DRAINING;
    harness.publishEndpointList();
    harness.server(0).listedStatus = EndpointStatus.ACTIVE;
    harness.publishEndpointList();
    assertTrue(harness.requests.get(harness.arrive(Consistency.WRITE)).inFlight.isEmpty());
    harness.server(0).startedAt = harness.now.minus(RouterHarness.ms(9000));
    harness.publishEndpointList();
    assertEquals("s0", harness.send(Consistency.WRITE).serverName());
  }

  /** Successors come under new names all day; kept, their predecessors would fill the memory. */
  @Test
  void removedServersAreForgotten() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int k = 3; k < 1000; k++) {
      RouterHarness.Server server = new RouterHarness.Server(k, 0);
      server.listedStatus = EndpointStatus.ACTIVE;
      server.primary = k % 3 == 0;
      harness.servers.put(server.id.name(), server);
      RouterHarness.Server old = harness.server(k - 3);
      old.listedStatus = EndpointStatus.REMOVED;
      harness.publishEndpointList();
      harness.advance(ms(1));
      harness.report(server, harness.now);
      harness.advance(ms(300));
      String write = harness.arrive(Consistency.WRITE);
      assertEquals("s" + k / 3 * 3, harness.onlyInFlight(write).serverName());
      harness.advance(ms(2));
      harness.answerOlderThan(Duration.ZERO);
    }
    assertEquals(997, harness.removedCalls);
    harness.advance(harness.config.slowStartDuration().plus(ms(300)));
    assertEquals(
        3,
        harness.router.describe(harness.now).split("s\\d+ ").length - 1,
        harness.router.describe(harness.now));
  }

  @Test
  void failedListCallIsRepeatedWithBackoff() {
    RouterHarness harness =
        new RouterHarness(
            RoutingConfigs.withWrites(Effect.NON_IDEMPOTENT, Scope.GROUP, true, true, true), 1);
    assertEquals(1, harness.watchCalls);
    for (int k = 0; k < 8; k++) {
      harness.router.endpointListFailed(harness.now);
      harness.advance(harness.config.maxPollInterval());
    }
    assertEquals(9, harness.watchCalls);
  }

  @Test
  void serverMissingFromACompleteListIsNoLongerListed() {
    RouterParts parts = new RouterParts(2);
    parts.registry.beginList(true);
    parts.list(0, EndpointStatus.ACTIVE, null, false);
    parts.registry.endList();
    assertTrue(parts.endpoint(0).listed);
    assertFalse(parts.endpoint(1).listed);
  }

  @Test
  void serverMissingFromAListOfChangesStaysListed() {
    RouterParts parts = new RouterParts(2);
    parts.registry.beginList(false);
    parts.registry.endList();
    assertTrue(parts.endpoint(1).listed);
  }

  @Test
  void primaryOfTheListCountsOnlyWhileNoneIsKnown() {
    RouterParts parts = new RouterParts(2);
    parts.list(0, EndpointStatus.ACTIVE, null, true);
    assertSame(parts.endpoint(0), parts.group.primary);
    parts.list(1, EndpointStatus.ACTIVE, null, true);
    assertSame(parts.endpoint(0), parts.group.primary);
  }

  @Test
  void newStartInTheListBeginsAWarmUp() {
    RouterParts parts = new RouterParts(2);
    assertNull(parts.endpoint(0).warmingSince);
    parts.list(0, EndpointStatus.ACTIVE, ms(40), false);
    assertEquals(ms(40), parts.endpoint(0).warmingSince);
  }

  @Test
  void removedServerIsForgottenAfterTheSlowStartDuration() {
    RouterParts parts = new RouterParts(2);
    ServerId id = parts.endpoint(0).id;
    parts.list(0, EndpointStatus.REMOVED, null, false);
    parts.registry.forgetRemoved(ms(1000));
    assertEquals(List.of(id), parts.removed);
    parts.registry.forgetRemoved(ms(6999));
    assertEquals(2, parts.group.members.size());
    parts.registry.forgetRemoved(ms(7000));
    assertNull(parts.registry.endpoint(id));
    assertEquals(1, parts.group.members.size());
  }

  @Test
  void failedListCallIsRepeatedOnceAfterOneToTwoBackoffs() {
    RouterParts parts = new RouterParts(1);
    parts.registry.recordListFailure(ms(0));
    parts.registry.pollIfDue(ms(499));
    assertEquals(0, parts.watchCalls);
    parts.registry.pollIfDue(ms(1000));
    parts.registry.pollIfDue(ms(5000));
    assertEquals(1, parts.watchCalls);
  }

  @Test
  void validityIsRegainedOnlyByAListThatWasInvalid() {
    EndpointRegistry registry = new RouterParts(1).registry;
    assertFalse(registry.setListValid(true));
    assertFalse(registry.setListValid(false));
    assertTrue(registry.setListValid(true));
  }
}
