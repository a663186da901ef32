package weldcross.config;

import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Text values by dotted keys, with typed and checked access. JSON and TOML are flattened to this
 * form, in which a simulator sends its settings, so that one set of checks reads all three: a list
 * of plain values is joined by commas, a list of objects has its length under {@code .count} and
 * its items under {@code .0}, {@code .1} and so on.
 *
 * <p>Every getter throws {@link InvalidConfigException} with the full key if the value is not of
 * the type, and takes the value for an absent key as {@code defaultValue}.
 */
public final class ConfigValues {

  /** Ends the key under which the length of a list stands. */
  static final String COUNT_SUFFIX = ".count";

  private static final int PORT_LIMIT = 1 << 16;
  private static final long NANOS_PER_MICRO = 1000;

  private final Map<String, String> values;

  /** Put before every key that is asked for; empty, or ends with a dot. */
  private final String prefix;

  /** Line of each key in its document; empty if lines are not known. */
  private final Map<String, Integer> lines;

  private ConfigValues(Map<String, String> values, String prefix, Map<String, Integer> lines) {
    this.values = values;
    this.prefix = prefix;
    this.lines = lines;
  }

  /** Returns values whose messages name the line of a key. */
  static ConfigValues withLines(Map<String, String> values, Map<String, Integer> lines) {
    return new ConfigValues(values, "", lines);
  }

  /**
   * Parses parts of the form {@code key=value}.
   *
   * @param parts the parts of a line
   * @param from index of the first one to parse
   * @throws InvalidConfigException if a part has no key or no equals sign
   */
  public static ConfigValues ofPairs(String[] parts, int from) {
    Map<String, String> values = new HashMap<>();
    for (int index = from; index < parts.length; index++) {
      int separator = parts[index].indexOf('=');
      if (separator <= 0) {
        throw new InvalidConfigException(parts[index], "no '='", "key=value");
      }
      values.put(parts[index].substring(0, separator), parts[index].substring(separator + 1));
    }
    return new ConfigValues(values, "", Map.of());
  }

  /**
   * Parses a JSON object.
   *
   * @param text the document in UTF-8
   * @throws InvalidConfigException if the text is no single JSON object
   */
  public static ConfigValues ofJson(byte[] text) {
    return new ConfigValues(JsonConfigParser.parse(text), "", Map.of());
  }

  /** Returns these values, with the given defaults for keys that are absent. */
  public ConfigValues orElse(Map<String, String> defaults) {
    Map<String, String> merged = new HashMap<>(defaults);
    merged.putAll(values);
    return new ConfigValues(merged, prefix, lines);
  }

  /** Returns a view of the values below a path; messages still name keys in full. */
  public ConfigValues under(String path) {
    return new ConfigValues(values, prefix + path + ".", lines);
  }

  /** Returns whether the key has a value. */
  public boolean has(String key) {
    return values.containsKey(prefix + key);
  }

  /** Returns the value as written, which may be empty. */
  public String text(String key, String defaultValue) {
    return values.getOrDefault(prefix + key, defaultValue);
  }

  /** Returns the value as written; throws if it is absent or empty. */
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

  /** Returns one of the allowed values; the first one if the key is absent. */
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
      throw invalid(key, "a number from " + min + " on");
    }
    return value == null ? defaultValue : value.doubleValue();
  }

  /** Returns a number of at least {@code min}, without its fraction. */
  public long integer(String key, long defaultValue, long min) {
    BigDecimal value = number(key);
    if (value != null && value.compareTo(BigDecimal.valueOf(min)) < 0) {
      throw invalid(key, "a number from " + min + " on");
    }
    return value == null ? defaultValue : value.longValue();
  }

  /** Returns a time that is written in milliseconds, of at least {@code min} of them. */
  public Duration millis(String key, Duration defaultValue, long min) {
    return Duration.ofMillis(integer(key, defaultValue.toMillis(), min));
  }

  /** Returns a time that is written in microseconds; throws if it is negative. */
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

  /** Returns the items of a list of plain values; empty if the key is absent. */
  public List<String> list(String key) {
    String value = values.get(prefix + key);
    return value == null || value.isEmpty() ? List.of() : List.of(value.split(",", -1));
  }

  /** Returns the length of a list; 0 if the key is absent. */
  public int count(String key) {
    return (int) integer(key + COUNT_SUFFIX, 0, 0);
  }

  /** Returns an IP address with its port; host names are rejected, as none is ever resolved. */
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
      // Reported below, like any other text that is not an address.
    }
    throw invalid(key, "an address such as 127.0.0.1:6543");
  }

  /**
   * Throws for the first key, by line and name, that is not among the known ones.
   *
   * @param knownKeys full keys, with {@code *} in place of the index of a list
   */
  public void rejectUnknownKeys(List<String> knownKeys) {
    values.keySet().stream()
        .filter(key -> !key.endsWith(COUNT_SUFFIX))
        .filter(key -> !knownKeys.contains(key.replaceAll("\\.\\d+(?=\\.|$)", ".*")))
        .min(Comparator.comparingInt(this::lineOf).thenComparing(Comparator.naturalOrder()))
        .ifPresent(
            key -> {
              throw new InvalidConfigException(
                  withLine(key), "a key that nobody reads", String.join(", ", knownKeys));
            });
  }

  /** Returns the exception for the value of a key, to be thrown by the caller. */
  public InvalidConfigException invalid(String key, String allowed) {
    String value = values.get(prefix + key);
    return new InvalidConfigException(
        withLine(prefix + key), value == null ? "nothing" : "'" + value + "'", allowed);
  }

  private int lineOf(String key) {
    return lines.getOrDefault(key, 0);
  }

  /** Returns the full key with its line, or with the line of the nearest table around it. */
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
