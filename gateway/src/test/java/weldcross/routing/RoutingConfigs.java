package weldcross.routing;

import java.util.ArrayList;
import java.util.List;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;

/** Routing configurations for tests. */
final class RoutingConfigs {

  private RoutingConfigs() {}

  /**
   * Returns the index of the request class with the consistency, in every configuration of this
   * class.
   */
  static int classIndex(Consistency consistency) {
    return List.of(Consistency.values()).indexOf(consistency);
  }

  private static RequestClass requestClass(
      Consistency consistency,
      Idempotency idempotency,
      DeduplicationScope scope,
      double lateWeight) {
    return new RequestClass(
        consistency,
        RouterHarness.STALENESS_BOUND,
        idempotency,
        scope,
        RouterHarness.ms(900),
        RouterHarness.LATENCY_OBJECTIVE,
        1 + classIndex(consistency),
        lateWeight);
  }

  /**
   * Returns a configuration with one request class per consistency, in the order of the enum; the
   * writes have the given idempotency and deduplication scope.
   */
  static RoutingConfig withWrites(
      Idempotency write,
      DeduplicationScope scope,
      boolean parallelAttempts,
      boolean clientsCarryTokens,
      boolean pollEndpointList) {
    List<RequestClass> requestClasses = new ArrayList<>();
    for (Consistency consistency : Consistency.values()) {
      requestClasses.add(
          requestClass(
              consistency,
              consistency == Consistency.WRITE ? write : Idempotency.IDEMPOTENT,
              scope,
              consistency == Consistency.WRITE ? 0.5 : 0));
    }
    return new RoutingConfig(
        requestClasses,
        2,
        new ZoneId(0),
        parallelAttempts,
        5,
        true,
        true,
        true,
        RouterHarness.ms(300),
        pollEndpointList,
        RouterHarness.ms(8000),
        true,
        clientsCarryTokens,
        0.25,
        RouterHarness.ms(6000),
        2,
        RouterHarness.ms(1000));
  }

  /**
   * Returns the configuration of a fleet with the given number of gateways, with non-idempotent
   * writes.
   */
  static RoutingConfig fleet(int gateways, boolean removalIsBinding) {
    RoutingConfig base =
        withWrites(Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, true, true, false);
    return new RoutingConfig(
        base.requestClasses(),
        gateways,
        base.zone(),
        true,
        base.maxAttempts(),
        true,
        true,
        true,
        base.maxRetryAfter(),
        false,
        base.maxPollInterval(),
        removalIsBinding,
        true,
        base.initialCapacityFraction(),
        base.slowStartDuration(),
        base.overloadMultiple(),
        base.overloadWindow());
  }
}
