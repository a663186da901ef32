package weldcross.config;

import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Configuration values by dotted keys, with typed and validated access.
 *
 * <p>JSON and TOML documents are flattened to the form in which the simulator sends its settings,
 * so that all three are validated by the same code: a list of scalars is joined by commas; the
 * length of a list is stored under {@code .count}, and its items that are not scalars under {@code
 * .0}, {@code .1} and so on.
 *
 * <p>Every getter throws {@link InvalidConfigException} with the full key if the value has the
 * wrong type, and returns {@code defaultValue} if the key is absent.
 */
public final class ConfigValues {

  /** Suffix of the key that holds the length of a list. */
  static final String COUNT_SUFFIX = ".count";

  private static final int PORT_LIMIT = 1 << 16;
  private static final long NANOS_PER_MICRO = 1000;

  private final Map<String, String> values;

  /** Prepended to every requested key; empty, or ends with a dot. */
  private final String prefix;

  /** Line of each key in its document; empty if lines are unknown. */
  private final Map<String, Integer> lines;

  private ConfigValues(Map<String, String> values, String prefix, Map<String, Integer> lines) {
    this.values = values;
    this.prefix = prefix;
    this.lines = lines;
  }

  /** Returns values whose error messages contain the line of a key. */
  static ConfigValues withLines(Map<String, String> values, Map<String, Integer> lines) {
    return new ConfigValues(values, "", lines);
  }

  /**
   * Parses fields of the form {@code key=value}.
   *
   * @param fields the fields of a line
   * @param from index of the first field to parse
   * @throws InvalidConfigException if a field has no key or no equals sign
   */
  public static ConfigValues ofPairs(String[] fields, int from) {
    Map<String, String> values = new HashMap<>();
    for (int index = from; index < fields.length; index++) {
      int separator = fields[index].indexOf('=');
      if (separator <= 0) {
        throw new InvalidConfigException(fields[index], "no '='", "key=value");
      }
      values.put(fields[index].substring(0, separator), fields[index].substring(separator + 1));
    }
    return new ConfigValues(values, "", Map.of());
  }

  /**
   * Parses a JSON object.
   *
   * @param text the document in UTF-8
   * @throws InvalidConfigException if the text is not a single JSON object
   */
  public static ConfigValues ofJson(byte[] text) {
    return new ConfigValues(JsonConfigParser.parse(text), "", Map.of());
  }

  /** Returns these values with the given defaults for absent keys. */
  public ConfigValues withDefaults(Map<String, String> defaults) {
    Map<String, String> merged = new HashMap<>(defaults);
    merged.putAll(values);
    return new ConfigValues(merged, prefix, lines);
  }

  /** Returns a view of the values below a path; error messages still contain the full key. */
  public ConfigValues subtree(String path) {
    return new ConfigValues(values, prefix + path + ".", lines);
  }

  /** Returns whether the key has a value. */
  public boolean has(String key) {
    return values.containsKey(prefix + key);
  }

  /** Returns the value, which may be empty. */
  public String text(String key, String defaultValue) {
    return values.getOrDefault(prefix + key, defaultValue);
  }

  /** Returns the value; throws if it is absent or empty. */
  public String text(String key) {
    String value = values.get(prefix + key);
    if (value == null || value.isEmpty()) {
      throw invalid(key, "a value");
    }
    return value;
  }

  /** Returns a boolean, written as {@code true} or {@code 1}, {@code false} or {@code 0}. */
  public boolean flag(String key, boolean defaultValue) {
    String value = values.get(prefix + key);
    if (value == null) {
      return defaultValue;
    }
    return switch (value) {
      case "true", "1" -> true;
      case "false", "0" -> false;
      default -> throw invalid(key, "true or false");
    };
  }

  /** Returns the value, which must be one of those allowed; the first of them if it is absent. */
  public String oneOf(String key, String... allowed) {
    String value = values.getOrDefault(prefix + key, allowed[0]);
    if (!List.of(allowed).contains(value)) {
      throw invalid(key, String.join(" or ", allowed));
    }
    return value;
  }

  /** Returns a number of at least {@code min}. */
  public double decimal(String key, double defaultValue, double min) {
    BigDecimal value = number(key);
    if (value != null && value.doubleValue() < min) {
      throw invalid(key, "a number of at least " + min);
    }
    return value == null ? defaultValue : value.doubleValue();
  }

  /** Returns a number of at least {@code min}, truncated to an integer. */
  public long integer(String key, long defaultValue, long min) {
    BigDecimal value = number(key);
    if (value != null && value.compareTo(BigDecimal.valueOf(min)) < 0) {
      throw invalid(key, "a number of at least " + min);
    }
    return value == null ? defaultValue : value.longValue();
  }

  /** Returns a duration given in milliseconds, of at least {@code min} milliseconds. */
  public Duration millis(String key, Duration defaultValue, long min) {
    return Duration.ofMillis(integer(key, defaultValue.toMillis(), min));
  }

  /** Returns a duration given in microseconds; throws if it is negative. */
  public Duration micros(String key, Duration defaultValue) {
    BigDecimal value = number(key);
    if (value == null) {
      return defaultValue;
    }
    BigDecimal max = BigDecimal.valueOf(Long.MAX_VALUE / NANOS_PER_MICRO);
    if (value.signum() < 0 || value.compareTo(max) > 0) {
      throw invalid(key, "a time in microseconds");
    }
    return Duration.ofNanos(value.longValue() * NANOS_PER_MICRO);
  }

  /** Returns the items of a list of scalars; empty if the key is absent. */
  public List<String> list(String key) {
    String value = values.get(prefix + key);
    return value == null || value.isEmpty() ? List.of() : List.of(value.split(",", -1));
  }

  /** Returns the length of a list; 0 if the key is absent. */
  public int count(String key) {
    return (int) integer(key + COUNT_SUFFIX, 0, 0);
  }

  /** Returns an IP address and port; host names are rejected because none are ever resolved. */
  public InetSocketAddress address(String key) {
    String value = text(key);
    int colon = value.lastIndexOf(':');
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      String host = value.substring(0, Math.max(0, colon));
      if (port >= 0 && port < PORT_LIMIT && host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
        return new InetSocketAddress(host, port);
      }
    } catch (IllegalArgumentException e) {
      // Reported below, like any other invalid address.
    }
    throw invalid(key, "an address such as 127.0.0.1:6543");
  }

  /**
   * Throws if a key is unknown; reports the first unknown key by line and name.
   *
   * @param knownKeys full keys, with {@code *} in place of list indexes
   */
  public void rejectUnknownKeys(List<String> knownKeys) {
    values.keySet().stream()
        .filter(key -> !key.endsWith(COUNT_SUFFIX))
        .filter(key -> !knownKeys.contains(key.replaceAll("\\.\\d+(?=\\.|$)", ".*")))
        .min(Comparator.comparingInt(this::lineOf).thenComparing(Comparator.naturalOrder()))
        .ifPresent(
            key -> {
              throw new InvalidConfigException(
                  withLine(key), "an unknown key", String.join(", ", knownKeys));
            });
  }

  /** Creates an exception for the value of a key, for the caller to throw. */
  public InvalidConfigException invalid(String key, String allowed) {
    String value = values.get(prefix + key);
    return new InvalidConfigException(
        withLine(prefix + key), value == null ? "nothing" : "'" + value + "'", allowed);
  }

  private int lineOf(String key) {
    return lines.getOrDefault(key, 0);
  }

  /** Returns the full key with its line or, if unknown, that of the innermost enclosing table. */
  private String withLine(String key) {
    for (String path = key;
        !path.isEmpty();
        path = path.substring(0, Math.max(0, path.lastIndexOf('.')))) {
      if (lines.containsKey(path)) {
        return key + " (line " + lines.get(path) + ")";
      }
    }
    return key;
  }

  /** Returns null if the key is absent. */
  private BigDecimal number(String key) {
    String value = values.get(prefix + key);
    try {
      return value == null ? null : new BigDecimal(value);
    } catch (NumberFormatException e) {
      throw invalid(key, "a number");
    }
  }
}
