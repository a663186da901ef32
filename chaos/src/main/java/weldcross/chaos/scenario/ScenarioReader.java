package weldcross.chaos.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import weldcross.config.ConfigValues;
import weldcross.config.TomlConfigParser;

/** Reads scenario files; a value that cannot be used is reported with its key and line. */
final class ScenarioReader {

  private static final int MAX_GATEWAYS = 40;
  private static final int MAX_GROUPS = 20;
  private static final int MAX_SERVERS_PER_GROUP = 9;
  private static final int DEFAULT_DRAWS = 8;
  private static final Duration DEFAULT_LAG = Duration.ofMillis(30);
  private static final Duration DEFAULT_SERVICE = Duration.ofMillis(4);

  /** All keys that a scenario may have. */
  private static final List<String> KEYS =
      List.of(
          "name",
          "about",
          "seconds",
          "rate",
          "gateways",
          "groups",
          "servers_per_group",
          "lag_ms",
          "service_ms",
          "linked",
          "voters",
          "log",
          "fault",
          "fault.*.at_ms",
          "fault.*.for_ms",
          "fault.*.kind",
          "fault.*.on",
          "fault.*.to",
          "fault.*.how",
          "nemesis.kinds",
          "nemesis.draws");

  private final ConfigValues values;
  private final int gateways;
  private final int groups;
  private final int serversPerGroup;
  private final Duration lasting;

  private ScenarioReader(ConfigValues values) {
    this.values = values;
    values.rejectUnknownKeys(KEYS);
    gateways = integerUpTo("gateways", 5, MAX_GATEWAYS);
    groups = integerUpTo("groups", 3, MAX_GROUPS);
    serversPerGroup = integerUpTo("servers_per_group", 3, MAX_SERVERS_PER_GROUP);
    lasting = Duration.ofSeconds(values.integer("seconds", 30, 1));
  }

  static Scenario read(String file) {
    return new ScenarioReader(TomlConfigParser.read(file)).scenario();
  }

  private Scenario scenario() {
    List<Fault> faults = new ArrayList<>();
    for (int index = 0; index < values.count("fault"); index++) {
      faults.add(fault(values.subtree("fault." + index)));
    }
    List<Fault.Kind> drawn = new ArrayList<>();
    for (String kind : values.list("nemesis.kinds")) {
      drawn.add(kind(values, "nemesis.kinds", kind));
    }
    return new Scenario(
        values.text("name"),
        values.text("about", ""),
        lasting,
        (int) values.integer("rate", 200, 1),
        gateways,
        groups,
        serversPerGroup,
        values.millis("lag_ms", DEFAULT_LAG, 0),
        values.millis("service_ms", DEFAULT_SERVICE, 0),
        values.flag("linked", false) || values.has("voters"),
        voters(),
        values.oneOf("log", "INFO", "FINE", "WARNING"),
        List.copyOf(faults),
        List.copyOf(drawn),
        (int) values.integer("nemesis.draws", drawn.isEmpty() ? 0 : DEFAULT_DRAWS, 0));
  }

  private int integerUpTo(String key, int absent, int max) {
    int value = (int) values.integer(key, absent, 1);
    if (value > max) {
      throw values.invalid(key, "a number from 1 to " + max);
    }
    return value;
  }

  private int voters() {
    int voters = (int) values.integer("voters", 0, 0);
    if (voters > gateways || (voters > 0 && voters % 2 == 0)) {
      throw values.invalid("voters", "an odd number of the gateways, or 0 for no agreement");
    }
    return voters;
  }

  private Fault fault(ConfigValues table) {
    Fault.Kind kind = kind(table, "kind", table.text("kind"));
    Duration at = table.millis("at_ms", Duration.ZERO, 0);
    if (at.compareTo(lasting) > 0) {
      throw table.invalid("at_ms", "a time within the trial");
    }
    String on = table.text("on", "");
    String to = table.text("to", "");
    String how = table.text("how", "");
    int servers = groups * serversPerGroup;
    if (kind.isOnGateway()) {
      requireHost(table, "on", on, gateways, 0);
    } else if (kind.isBetween()) {
      requireHost(table, "on", on, gateways, servers);
      if (!to.equals("*")) {
        requireHost(table, "to", to, gateways, servers);
      }
    } else if (kind != Fault.Kind.SPLIT) {
      requireHost(table, "on", on, 0, servers);
    } else if (!how.contains("|")) {
      throw table.invalid("how", "sides such as n0,n1|n2,n3");
    }
    return new Fault(at, table.millis("for_ms", Duration.ZERO, 0), kind, on, to, how);
  }

  private static Fault.Kind kind(ConfigValues table, String key, String word) {
    for (Fault.Kind kind : Fault.Kind.values()) {
      if (kind.word().equals(word)) {
        return kind;
      }
    }
    throw table.invalid(
        key,
        Stream.of(Fault.Kind.values()).map(Fault.Kind::word).collect(Collectors.joining(", ")));
  }

  /** Requires a host of the run: one of some gateways or servers, clients or discovery. */
  private static void requireHost(
      ConfigValues table, String key, String host, int gateways, int servers) {
    boolean known = servers > 0 && (host.equals("clients") || host.equals("discovery"));
    known |= isNumbered(host, "n", gateways) || isNumbered(host, "s", servers);
    if (!known) {
      throw table.invalid(
          key,
          "a host of the trial"
              + (gateways > 0 ? ", n0 to n" + (gateways - 1) : "")
              + (servers > 0 ? ", s0 to s" + (servers - 1) : ""));
    }
  }

  private static boolean isNumbered(String host, String prefix, int count) {
    for (int number = 0; number < count; number++) {
      if (host.equals(prefix + number)) {
        return true;
      }
    }
    return false;
  }
}
