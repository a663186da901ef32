package weldcross.chaos.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import weldcross.config.ConfigValues;
import weldcross.config.InvalidConfigException;
import weldcross.config.TomlConfigParser;

/**
 * What a trial plays.
 *
 * @param rate RPCs a second, over all gateways
 * @param calm after the last fault, before it ends
 * @param linked whether gateways are values of each other
 * @param voters how many of them agree on who is a member; zero for no agreement
 * @param log the level at which gateways log
 * @param drawn kinds that a seed may draw from; empty where only what is written is played
 * @param draws how many are drawn
 */
public record Scenario(
    String name,
    String about,
    Duration lasting,
    int rate,
    int gateways,
    int groups,
    int serversPerGroup,
    Duration lag,
    Duration service,
    boolean linked,
    int voters,
    String log,
    List<Fault> faults,
    List<Fault.Kind> drawn,
    int draws) {

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

  /**
   * @throws InvalidConfigException naming the key and its line
   */
  public static Scenario read(String file) {
    ConfigValues values = TomlConfigParser.read(file);
    values.rejectUnknownKeys(KEYS);
    int gateways = within(values, "gateways", 5, 40);
    int groups = within(values, "groups", 3, 20);
    int servers = within(values, "servers_per_group", 3, 9);
    Duration lasting = Duration.ofSeconds(values.integer("seconds", 30, 1));
    List<Fault> faults = new ArrayList<>();
    for (int k = 0; k < values.count("fault"); k++) {
      faults.add(fault(values.under("fault." + k), gateways, groups * servers, lasting));
    }
    List<Fault.Kind> drawn = new ArrayList<>();
    for (String word : values.list("nemesis.kinds")) {
      drawn.add(kind(values, "nemesis.kinds", word));
    }
    return new Scenario(
        values.text("name"),
        values.text("about", ""),
        lasting,
        (int) values.integer("rate", 200, 1),
        gateways,
        groups,
        servers,
        values.millis("lag_ms", Duration.ofMillis(30), 0),
        values.millis("service_ms", Duration.ofMillis(4), 0),
        values.flag("linked", false) || values.has("voters"),
        voters(values, gateways),
        values.oneOf("log", "INFO", "FINE", "WARNING"),
        List.copyOf(faults),
        List.copyOf(drawn),
        (int) values.integer("nemesis.draws", drawn.isEmpty() ? 0 : 8, 0));
  }

  private static int within(ConfigValues values, String key, int absent, int most) {
    int value = (int) values.integer(key, absent, 1);
    if (value > most) {
      throw values.invalid(key, "a number from 1 to " + most);
    }
    return value;
  }

  private static int voters(ConfigValues values, int gateways) {
    int voters = (int) values.integer("voters", 0, 0);
    if (voters > gateways || (voters > 0 && voters % 2 == 0)) {
      throw values.invalid("voters", "an odd number of the gateways, or 0 for no agreement");
    }
    return voters;
  }

  private static Fault fault(ConfigValues values, int gateways, int servers, Duration lasting) {
    Fault.Kind kind = kind(values, "kind", values.text("kind"));
    Duration at = values.millis("at_ms", Duration.ZERO, 0);
    if (at.compareTo(lasting) > 0) {
      throw values.invalid("at_ms", "a time within the trial");
    }
    String on = values.text("on", "");
    String to = values.text("to", "");
    if (kind.isOnGateway()) {
      known(values, "on", on, gateways, 0);
    } else if (kind.isBetween()) {
      known(values, "on", on, gateways, servers);
      if (!to.equals("*")) {
        known(values, "to", to, gateways, servers);
      }
    } else if (kind != Fault.Kind.SPLIT) {
      known(values, "on", on, 0, servers);
    } else if (!values.text("how", "").contains("|")) {
      throw values.invalid("how", "sides such as n0,n1|n2,n3");
    }
    return new Fault(
        at, values.millis("for_ms", Duration.ZERO, 0), kind, on, to, values.text("how", ""));
  }

  private static Fault.Kind kind(ConfigValues values, String key, String word) {
    for (Fault.Kind each : Fault.Kind.values()) {
      if (each.word().equals(word)) {
        return each;
      }
    }
    throw values.invalid(
        key,
        List.of(Fault.Kind.values()).stream()
            .map(Fault.Kind::word)
            .collect(Collectors.joining(", ")));
  }

  private static void known(
      ConfigValues values, String key, String host, int gateways, int servers) {
    boolean fits =
        (host.equals("clients") && servers > 0) || (host.equals("discovery") && servers > 0);
    for (int k = 0; k < gateways; k++) {
      fits |= host.equals("n" + k);
    }
    for (int k = 0; k < servers; k++) {
      fits |= host.equals("s" + k);
    }
    if (!fits) {
      throw values.invalid(
          key,
          "a host of the trial"
              + (gateways > 0 ? ", n0 to n" + (gateways - 1) : "")
              + (servers > 0 ? ", s0 to s" + (servers - 1) : ""));
    }
  }

  public Scenario with(List<Fault> others) {
    return new Scenario(
        name,
        about,
        lasting,
        rate,
        gateways,
        groups,
        serversPerGroup,
        lag,
        service,
        linked,
        voters,
        log,
        List.copyOf(others),
        List.of(),
        0);
  }

  public Scenario lasting(Duration time) {
    return new Scenario(
        name,
        about,
        time,
        rate,
        gateways,
        groups,
        serversPerGroup,
        lag,
        service,
        linked,
        voters,
        log,
        faults,
        drawn,
        draws);
  }

  /** As a document that {@link #read} takes. */
  public String toml() {
    StringBuilder text =
        new StringBuilder(
            "name = \""
                + name
                + "\"\nabout = \""
                + about
                + "\"\nseconds = "
                + lasting.toSeconds()
                + "\nrate = "
                + rate
                + "\ngateways = "
                + gateways
                + "\ngroups = "
                + groups
                + "\nservers_per_group = "
                + serversPerGroup
                + "\nlag_ms = "
                + lag.toMillis()
                + "\nservice_ms = "
                + service.toMillis()
                + "\nlinked = "
                + linked
                + "\nvoters = "
                + voters
                + "\nlog = \""
                + log.toUpperCase(Locale.ROOT)
                + "\"\n");
    faults.forEach(f -> text.append('\n').append(String.join("\n", f.toml())).append('\n'));
    return text.toString();
  }
}
