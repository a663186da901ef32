package weldcross.config;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import weldcross.routing.RequestClass;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.Effect;
import weldcross.routing.RequestClass.Scope;
import weldcross.routing.RoutingConfig;
import weldcross.routing.ZoneId;

/**
 * The one place where start values become terms: names, checks and what holds where a key is
 * absent.
 */
public final class ConfigReader {

  private ConfigReader() {}

  /**
   * The terms of the service, under the names that the bench's wire and the configuration share.
   */
  public static RoutingConfig service(ConfigValues told) {
    List<String> needs = told.list("familyInfo.freshness");
    List<String> bounds = told.list("familyInfo.lagAllowed");
    List<RequestClass> rows = new ArrayList<>();
    for (int k = 0; k < told.count("categories"); k++) {
      ConfigValues method = told.under("categories." + k);
      rows.add(
          new RequestClass(
              k < needs.size() ? consistency(told, needs.get(k)) : Consistency.ANY,
              k < bounds.size() ? bound(told, bounds.get(k)) : Duration.ZERO,
              effect(method),
              scope(method),
              method.span("dedupWindow", Duration.ZERO),
              method.span("target", method.span("deadline", Duration.ZERO)),
              method.real("worth", 1, 0),
              method.real("lateWorth", 0, 0)));
    }
    boolean tellsWhen = told.flag("bounds.retryAfter", false);
    boolean onRequest = told.word("discovery", "pushed", "on_request").equals("on_request");
    boolean carried = told.word("familyInfo.tokenMode", "remembered", "carried").equals("carried");
    Duration comeBack = told.span("bounds.maxRetryAfter", Duration.ZERO);
    return new RoutingConfig(
        List.copyOf(rows),
        (int) told.whole("nInstances", 1, 1),
        new ZoneId((int) told.whole("myZone", 0, 0)),
        told.flag("bounds.parallelTries", false),
        (int) told.whole("bounds.tryLimit", 1, 1),
        told.flag("bounds.mayProbe", false),
        told.flag("bounds.cancel", false),
        told.flag("bounds.mayTell", false),
        tellsWhen ? comeBack : Duration.ZERO,
        onRequest,
        told.span("invariants.mustAskIn", Duration.ofSeconds(10)),
        !told.flag("invariants.removalNotBinding", false),
        carried,
        told.real("invariants.coldFrom", 0, 0),
        told.span("invariants.cold", Duration.ZERO),
        told.real("invariants.fallMultiple", 1, 0),
        told.span("invariants.fall", Duration.ZERO));
  }

  /** The clock time in microseconds that positions on the bench's wire are counted from. */
  public static long originMicros(ConfigValues told) {
    return told.whole("familyInfo.originTime", 0, Long.MIN_VALUE);
  }

  private static Consistency consistency(ConfigValues told, String word) {
    return switch (word) {
      case "write" -> Consistency.WRITE;
      case "fresh" -> Consistency.FRESH;
      case "session" -> Consistency.SESSION;
      case "bounded" -> Consistency.BOUNDED;
      case "any" -> Consistency.ANY;
      default ->
          throw told.fault(
              "familyInfo.freshness", "write, fresh, session, bounded or any for each");
    };
  }

  private static Duration bound(ConfigValues told, String micros) {
    try {
      return Duration.ofNanos(micros.isEmpty() ? 0 : new BigDecimal(micros).longValue() * 1000);
    } catch (NumberFormatException e) {
      throw told.fault("familyInfo.lagAllowed", "a time in microseconds for each");
    }
  }

  private static Effect effect(ConfigValues method) {
    return switch (method.text("effect", "at_most_once")) {
      case "idempotent" -> Effect.IDEMPOTENT;
      case "deduplicated" -> Effect.IDEMPOTENT_BY_KEY;
      case "at_most_once" -> Effect.NON_IDEMPOTENT;
      default -> throw method.fault("effect", "idempotent, deduplicated or at_most_once");
    };
  }

  private static Scope scope(ConfigValues method) {
    return switch (method.text("dedupScope", "cell")) {
      case "all" -> Scope.ALL;
      case "zone" -> Scope.ZONE;
      case "cell" -> Scope.GROUP;
      default -> throw method.fault("dedupScope", "all, zone or cell");
    };
  }
}
