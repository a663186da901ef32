package weldcross.config;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import weldcross.routing.RequestClass;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestClass.DeduplicationScope;
import weldcross.routing.RequestClass.Idempotency;
import weldcross.routing.RoutingConfig;
import weldcross.routing.ZoneId;

/**
 * Maps the settings that the configuration file and the simulator share to {@link RoutingConfig},
 * and applies the defaults of absent keys.
 */
public final class RoutingConfigReader {

  private static final String CONSISTENCY_KEY = "familyInfo.freshness";
  private static final String STALENESS_BOUND_KEY = "familyInfo.lagAllowed";
  private static final Duration DEFAULT_MAX_POLL_INTERVAL = Duration.ofSeconds(10);
  private static final long NANOS_PER_MICRO = 1000;

  private RoutingConfigReader() {}

  /**
   * Reads the configuration of the router.
   *
   * @throws InvalidConfigException if a value cannot be used
   */
  public static RoutingConfig read(ConfigValues settings) {
    boolean sendsRetryAfter = settings.flag("bounds.retryAfter", false);
    boolean polls = settings.oneOf("discovery", "pushed", "on_request").equals("on_request");
    boolean tokensCarried =
        settings.oneOf("familyInfo.tokenMode", "remembered", "carried").equals("carried");
    Duration maxRetryAfter = settings.micros("bounds.maxRetryAfter", Duration.ZERO);
    return new RoutingConfig(
        requestClasses(settings),
        (int) settings.integer("nInstances", 1, 1),
        new ZoneId((int) settings.integer("myZone", 0, 0)),
        settings.flag("bounds.parallelTries", false),
        (int) settings.integer("bounds.tryLimit", 1, 1),
        settings.flag("bounds.mayProbe", false),
        settings.flag("bounds.cancel", false),
        settings.flag("bounds.mayTell", false),
        sendsRetryAfter ? maxRetryAfter : Duration.ZERO,
        polls,
        settings.micros("invariants.mustAskIn", DEFAULT_MAX_POLL_INTERVAL),
        !settings.flag("invariants.removalNotBinding", false),
        tokensCarried,
        settings.decimal("invariants.coldFrom", 0, 0),
        settings.micros("invariants.cold", Duration.ZERO),
        settings.decimal("invariants.fallMultiple", 1, 0),
        settings.micros("invariants.fall", Duration.ZERO));
  }

  /**
   * Returns the Unix time in microseconds from which the simulator counts replication positions.
   */
  public static long originMicros(ConfigValues settings) {
    return settings.integer("familyInfo.originTime", 0, Long.MIN_VALUE);
  }

  private static List<RequestClass> requestClasses(ConfigValues settings) {
    List<String> consistencies = settings.list(CONSISTENCY_KEY);
    List<String> stalenessBounds = settings.list(STALENESS_BOUND_KEY);
    List<RequestClass> classes = new ArrayList<>();
    for (int index = 0; index < settings.count("categories"); index++) {
      ConfigValues category = settings.subtree("categories." + index);
      classes.add(
          new RequestClass(
              index < consistencies.size()
                  ? consistency(settings, consistencies.get(index))
                  : Consistency.ANY,
              index < stalenessBounds.size()
                  ? stalenessBound(settings, stalenessBounds.get(index))
                  : Duration.ZERO,
              effect(category),
              scope(category),
              category.micros("dedupWindow", Duration.ZERO),
              category.micros("target", category.micros("deadline", Duration.ZERO)),
              category.decimal("worth", 1, 0),
              category.decimal("lateWorth", 0, 0)));
    }
    return List.copyOf(classes);
  }

  private static Consistency consistency(ConfigValues settings, String value) {
    return switch (value) {
      case "write" -> Consistency.WRITE;
      case "fresh" -> Consistency.FRESH;
      case "session" -> Consistency.SESSION;
      case "bounded" -> Consistency.BOUNDED;
      case "any" -> Consistency.ANY;
      default ->
          throw settings.invalid(
              CONSISTENCY_KEY, "write, fresh, session, bounded or any for each category");
    };
  }

  private static Duration stalenessBound(ConfigValues settings, String micros) {
    try {
      return micros.isEmpty()
          ? Duration.ZERO
          : Duration.ofNanos(new BigDecimal(micros).longValue() * NANOS_PER_MICRO);
    } catch (NumberFormatException e) {
      throw settings.invalid(STALENESS_BOUND_KEY, "a time in microseconds for each category");
    }
  }

  private static Idempotency effect(ConfigValues category) {
    return switch (category.text("effect", "at_most_once")) {
      case "idempotent" -> Idempotency.IDEMPOTENT;
      case "deduplicated" -> Idempotency.IDEMPOTENT_BY_KEY;
      case "at_most_once" -> Idempotency.NON_IDEMPOTENT;
      default -> throw category.invalid("effect", "idempotent, deduplicated or at_most_once");
    };
  }

  private static DeduplicationScope scope(ConfigValues category) {
    return switch (category.text("dedupScope", "cell")) {
      case "all" -> DeduplicationScope.ALL;
      case "zone" -> DeduplicationScope.ZONE;
      case "cell" -> DeduplicationScope.GROUP;
      default -> throw category.invalid("dedupScope", "all, zone or cell");
    };
  }
}
