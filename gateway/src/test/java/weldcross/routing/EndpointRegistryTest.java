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
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;

class EndpointRegistryTest {

  /** Draining is binding until the list shows a new start of the server. */
  @Test
  void removedServersServeOnIfRemovalIsNotBindingButDrainingOnesDoNot() {
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

  /** Replacement servers get new names, so removed servers would otherwise accumulate in memory. */
  @Test
  void removedServersAreEvicted() {
    RouterHarness harness = RouterHarness.withKnownPrimary();
    for (int i = 3; i < 1000; i++) {
      RouterHarness.Server server = new RouterHarness.Server(i, 0);
      server.listedStatus = EndpointStatus.ACTIVE;
      server.primary = i % 3 == 0;
      harness.servers.put(server.id.name(), server);
      RouterHarness.Server old = harness.server(i - 3);
      old.listedStatus = EndpointStatus.REMOVED;
      harness.publishEndpointList();
      harness.advance(ms(1));
      harness.report(server, harness.now);
      harness.advance(ms(300));
      String write = harness.arrive(Consistency.WRITE);
      assertEquals("s" + i / 3 * 3, harness.firstInFlight(write).serverName());
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
  void failedListRequestIsRetriedWithBackoff() {
    RouterHarness harness =
        new RouterHarness(
            RoutingConfigs.withWrites(
                Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, true, true),
            1);
    assertEquals(1, harness.endpointListRequests);
    for (int i = 0; i < 8; i++) {
      harness.router.endpointListFailed(harness.now);
      harness.advance(harness.config.maxPollInterval());
    }
    assertEquals(9, harness.endpointListRequests);
  }

  @Test
  void serverMissingFromACompleteListIsNoLongerListed() {
    RouterComponents components = new RouterComponents(2);
    components.registry.beginList(true);
    components.list(0, EndpointStatus.ACTIVE, null, false);
    components.registry.endList();
    assertTrue(components.endpoint(0).listed);
    assertFalse(components.endpoint(1).listed);
  }

  @Test
  void serverMissingFromAnIncrementalListStaysListed() {
    RouterComponents components = new RouterComponents(2);
    components.registry.beginList(false);
    components.registry.endList();
    assertTrue(components.endpoint(1).listed);
  }

  @Test
  void listedPrimaryIsUsedOnlyWhileNoneIsKnown() {
    RouterComponents components = new RouterComponents(2);
    components.list(0, EndpointStatus.ACTIVE, null, true);
    assertSame(components.endpoint(0), components.group.primary);
    components.list(1, EndpointStatus.ACTIVE, null, true);
    assertSame(components.endpoint(0), components.group.primary);
  }

  @Test
  void newStartTimeInTheListBeginsSlowStart() {
    RouterComponents components = new RouterComponents(2);
    assertNull(components.endpoint(0).warmUpStartedAt);
    components.list(0, EndpointStatus.ACTIVE, ms(40), false);
    assertEquals(ms(40), components.endpoint(0).warmUpStartedAt);
  }

  @Test
  void removedServerIsEvictedAfterTheSlowStartDuration() {
    RouterComponents components = new RouterComponents(2);
    ServerId id = components.endpoint(0).id;
    components.list(0, EndpointStatus.REMOVED, null, false);
    components.registry.evictRemoved(ms(1000));
    assertEquals(List.of(id), components.removed);
    components.registry.evictRemoved(ms(6999));
    assertEquals(2, components.group.members.size());
    components.registry.evictRemoved(ms(7000));
    assertNull(components.registry.endpoint(id));
    assertEquals(1, components.group.members.size());
  }

  @Test
  void failedListRequestIsRetriedOnceWithinOneToTwoBackoffs() {
    RouterComponents components = new RouterComponents(1);
    components.registry.recordListFailure(ms(0));
    components.registry.pollIfDue(ms(499));
    assertEquals(0, components.endpointListRequests);
    components.registry.pollIfDue(ms(1000));
    components.registry.pollIfDue(ms(5000));
    assertEquals(1, components.endpointListRequests);
  }

  @Test
  void onlyAnInvalidListCanBecomeValid() {
    EndpointRegistry registry = new RouterComponents(1).registry;
    assertFalse(registry.setListValid(true));
    assertFalse(registry.setListValid(false));
    assertTrue(registry.setListValid(true));
  }
}
