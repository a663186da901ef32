package weldcross.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Values under dotted keys, as the bench's wire writes them; JSON is flattened to the same form, so
 * that both are read by the same checks: a list of plain values is joined by commas, a list of
 * objects has its length under {@code .count} and its items under {@code .0}, {@code .1} and so on.
 */
public final class ConfigValues {

  private static final JsonFactory JSON = new JsonFactory();

  private final Map<String, String> pairs;
  private final String prefix;

  /** Where keys stand in their document; empty where that is not known. */
  private final Map<String, Integer> lines;

  private ConfigValues(Map<String, String> pairs, String prefix) {
    this(pairs, prefix, Map.of());
  }

  private ConfigValues(Map<String, String> pairs, String prefix, Map<String, Integer> lines) {
    this.pairs = pairs;
    this.prefix = prefix;
    this.lines = lines;
  }

  /** Values whose lines are known and told in messages. */
  static ConfigValues ofLines(Map<String, String> pairs, Map<String, Integer> lines) {
    return new ConfigValues(pairs, "", lines);
  }

  /** Parts of the form key=value, from the given one on. */
  public static ConfigValues ofPairs(String[] parts, int from) {
    Map<String, String> pairs = new HashMap<>();
    for (int k = from; k < parts.length; k++) {
      int eq = parts[k].indexOf('=');
      if (eq <= 0) {
        throw new InvalidConfigException(parts[k], "no '='", "key=value");
      }
      pairs.put(parts[k].substring(0, eq), parts[k].substring(eq + 1));
    }
    return new ConfigValues(pairs, "");
  }

  public static ConfigValues ofJson(byte[] text) {
    Map<String, String> pairs = new HashMap<>();
    try (JsonParser in = JSON.createParser(text)) {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new InvalidConfigException("not a JSON object");
      }
      object(in, "", pairs);
      if (in.nextToken() != null) {
        throw new InvalidConfigException("not JSON: more after its end");
      }
    } catch (IOException e) {
      throw new InvalidConfigException(
          "not JSON: " + String.valueOf(e.getMessage()).split("\n")[0]);
    }
    return new ConfigValues(pairs, "");
  }

  private static void object(JsonParser in, String path, Map<String, String> into)
      throws IOException {
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String key = path + in.getCurrentName();
      value(in, in.nextToken(), key, into);
    }
  }

  private static void value(JsonParser in, JsonToken token, String key, Map<String, String> into)
      throws IOException {
    if (token == JsonToken.START_OBJECT) {
      object(in, key + ".", into);
    } else if (token == JsonToken.START_ARRAY) {
      StringBuilder joined = new StringBuilder();
      int count = 0;
      for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
        boolean plain = t.isScalarValue();
        if (plain) {
          joined.append(count == 0 ? "" : ",").append(in.getText());
        } else {
          value(in, t, key + "." + count, into);
        }
        count++;
      }
      into.put(key, joined.toString());
      into.put(key + ".count", Integer.toString(count));
    } else if (token != JsonToken.VALUE_NULL) {
      into.put(key, in.getText());
    }
  }

  /** These values, and the given ones for keys that are absent. */
  public ConfigValues orElse(Map<String, String> absent) {
    Map<String, String> all = new HashMap<>(absent);
    all.putAll(pairs);
    return new ConfigValues(all, prefix, lines);
  }

  /** The values below a path; messages go on naming keys in full. */
  public ConfigValues under(String path) {
    return new ConfigValues(pairs, prefix + path + ".", lines);
  }

  public boolean has(String key) {
    return pairs.containsKey(prefix + key);
  }

  public String text(String key, String absent) {
    return pairs.getOrDefault(prefix + key, absent);
  }

  public String text(String key) {
    String value = pairs.get(prefix + key);
    if (value == null || value.isEmpty()) {
      throw fault(key, "a value");
    }
    return value;
  }

  public boolean flag(String key, boolean absent) {
    String value = pairs.get(prefix + key);
    if (value == null) {
      return absent;
    }
    return switch (value) {
      case "true", "1" -> true;
      case "false", "0" -> false;
      default -> throw fault(key, "true or false");
    };
  }

  /** One of the given words; the first where the key is absent. */
  public String word(String key, String... allowed) {
    String value = pairs.getOrDefault(prefix + key, allowed[0]);
    if (!List.of(allowed).contains(value)) {
      throw fault(key, String.join(" or ", allowed));
    }
    return value;
  }

  public double real(String key, double absent, double least) {
    BigDecimal value = number(key);
    if (value != null && value.doubleValue() < least) {
      throw fault(key, "a number from " + least + " on");
    }
    return value == null ? absent : value.doubleValue();
  }

  public long whole(String key, long absent, long least) {
    BigDecimal value = number(key);
    if (value != null && value.compareTo(BigDecimal.valueOf(least)) < 0) {
      throw fault(key, "a number from " + least + " on");
    }
    return value == null ? absent : value.longValue();
  }

  /** A time in whole milliseconds. */
  public Duration millis(String key, Duration absent, long least) {
    return Duration.ofMillis(whole(key, absent.toMillis(), least));
  }

  /**
   * Throws for the first key, by line and name, that is none of these; {@code *} stands for a
   * number.
   */
  public void knowsOnly(List<String> keys) {
    pairs.keySet().stream()
        .filter(key -> !key.endsWith(".count"))
        .filter(key -> !keys.contains(key.replaceAll("\\.\\d+(?=\\.|$)", ".*")))
        .min(
            Comparator.comparingInt((String key) -> line(key))
                .thenComparing(Comparator.naturalOrder()))
        .ifPresent(
            key -> {
              throw new InvalidConfigException(
                  named(key), "a key that nobody reads", String.join(", ", keys));
            });
  }

  private int line(String key) {
    return lines.getOrDefault(key, 0);
  }

  /** The key, with its line where that is known, or the line of what it would stand in. */
  private String named(String key) {
    for (String at = key; !at.isEmpty(); at = at.substring(0, Math.max(0, at.lastIndexOf('.')))) {
      if (lines.containsKey(at)) {
        return key + " (line " + lines.get(at) + ")";
      }
    }
    return key;
  }

  /** A time in microseconds. */
  public Duration span(String key, Duration absent) {
    BigDecimal value = number(key);
    if (value == null) {
      return absent;
    }
    if (value.signum() < 0 || value.compareTo(BigDecimal.valueOf(Long.MAX_VALUE / 1000)) > 0) {
      throw fault(key, "a time in microseconds");
    }
    return Duration.ofNanos(value.longValue() * 1000);
  }

  public List<String> list(String key) {
    String value = pairs.get(prefix + key);
    return value == null || value.isEmpty() ? List.of() : List.of(value.split(",", -1));
  }

  public int count(String key) {
    return (int) whole(key + ".count", 0, 0);
  }

  /** An address written as numbers: nothing is ever looked up by name. */
  public InetSocketAddress address(String key) {
    String value = text(key);
    int colon = value.lastIndexOf(':');
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      String host = value.substring(0, Math.max(0, colon));
      if (port >= 0 && port < 1 << 16 && host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
        return new InetSocketAddress(host, port);
      }
    } catch (IllegalArgumentException e) {
      // Told below like all else that is no address.
    }
    throw fault(key, "an address such as 127.0.0.1:6543");
  }

  public InvalidConfigException fault(String key, String allowed) {
    String value = pairs.get(prefix + key);
    return new InvalidConfigException(
        named(prefix + key), value == null ? "nothing" : "'" + value + "'", allowed);
  }

  private BigDecimal number(String key) {
    String value = pairs.get(prefix + key);
    try {
      return value == null ? null : new BigDecimal(value);
    } catch (NumberFormatException e) {
      throw fault(key, "a number");
    }
  }
}
