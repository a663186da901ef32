package weldcross.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import weldcross.routing.RoutingConfig;

/** Maps the environment variables and the JSON file of a gateway to {@link GatewayConfig}. */
final class GatewayConfigReader {

  private static final String CONFIG_VARIABLE = "NODE_CONFIG";
  private static final int DEFAULT_MAX_DESCRIPTORS = 1024;
  private static final int MIN_DESCRIPTORS = 64;
  private static final Duration DEFAULT_SERVER_IDLE_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(250);
  private static final Duration DEFAULT_DRAIN_GRACE_PERIOD = Duration.ofSeconds(2);
  private static final int SEED_RADIX = 16;

  private GatewayConfigReader() {}

  static GatewayConfig fromEnvironment(Map<String, String> environment) {
    ConfigValues values = readFile(environment.getOrDefault(CONFIG_VARIABLE, ""));
    return fromValues(
        values.withDefaults(
            Map.of(
                "name", environment.getOrDefault("NODE_NAME", ""),
                "listen", environment.getOrDefault("NODE_LISTEN", ""),
                "discovery", environment.getOrDefault("NODE_DISCOVERY", ""))));
  }

  static GatewayConfig fromFile(String file) {
    return fromValues(readFile(file));
  }

  static GatewayConfig fromValues(ConfigValues values) {
    ConfigValues settings = values.subtree("settings");
    RoutingConfig routing = RoutingConfigReader.read(settings);
    if (routing.requestClasses().isEmpty()) {
      throw settings.invalid("categories", "a list of request classes");
    }
    List<String> requestClassNames = names(settings, "categories");
    List<String> tenants = names(settings, "tenants");
    boolean gossipEnabled = routing.gossip() && values.has("peer_listen");
    boolean healthCheckReportsLoad =
        settings.oneOf("report.source", "none", "probe", "answers").equals("probe");
    return new GatewayConfig(
        values.text("name"),
        values.address("listen"),
        values.address("discovery"),
        seed(values),
        (int) values.integer("limits.sockets", DEFAULT_MAX_DESCRIPTORS, MIN_DESCRIPTORS),
        routing,
        requestClassNames,
        tenants,
        settings.list("zones"),
        gossipEnabled ? values.address("peer_listen") : null,
        gossipEnabled ? values.address("peers_all") : null,
        settings.micros("bounds.idleClose", DEFAULT_SERVER_IDLE_TIMEOUT),
        settings.micros("bounds.connectTimeout", DEFAULT_CONNECT_TIMEOUT),
        settings.micros("invariants.stopSendingWithin", DEFAULT_DRAIN_GRACE_PERIOD),
        healthCheckReportsLoad,
        values.subtree("known"));
  }

  private static ConfigValues readFile(String file) {
    if (file.isEmpty()) {
      throw new InvalidConfigException(
          CONFIG_VARIABLE, "nothing", "the path of the configuration file");
    }
    try {
      return ConfigValues.ofJson(Files.readAllBytes(Path.of(file)));
    } catch (InvalidConfigException e) {
      throw new InvalidConfigException(
          CONFIG_VARIABLE, "'" + file + "' (" + e.getMessage() + ")", "the path of a JSON object");
    } catch (IOException | InvalidPathException e) {
      throw new InvalidConfigException(
          CONFIG_VARIABLE,
          "'" + file + "' (" + e.getClass().getSimpleName() + ")",
          "the path of a readable file");
    }
  }

  private static List<String> names(ConfigValues settings, String listKey) {
    List<String> names = new ArrayList<>();
    for (int index = 0; index < settings.count(listKey); index++) {
      names.add(settings.text(listKey + "." + index + ".name"));
    }
    return List.copyOf(names);
  }

  private static long seed(ConfigValues values) {
    try {
      return Long.parseUnsignedLong(values.text("seed"), SEED_RADIX);
    } catch (NumberFormatException e) {
      throw values.invalid("seed", "up to 16 hex digits");
    }
  }
}
