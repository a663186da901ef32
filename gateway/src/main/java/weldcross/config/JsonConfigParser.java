package weldcross.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Flattens a JSON object to the keys of {@link ConfigValues}. */
final class JsonConfigParser {

  private static final JsonFactory JSON = new JsonFactory();

  private final JsonParser parser;
  private final Map<String, String> values = new HashMap<>();

  private JsonConfigParser(JsonParser parser) {
    this.parser = parser;
  }

  /**
   * Parses a document.
   *
   * @return the values by their dotted keys
   * @throws InvalidConfigException if the text is not a single JSON object
   */
  static Map<String, String> parse(byte[] text) {
    try (JsonParser parser = JSON.createParser(text)) {
      return new JsonConfigParser(parser).document();
    } catch (IOException e) {
      String firstLine = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new InvalidConfigException("not JSON: " + firstLine);
    }
  }

  private Map<String, String> document() throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new InvalidConfigException("not a JSON object");
    }
    addObject("");
    if (parser.nextToken() != null) {
      throw new InvalidConfigException("not JSON: unexpected content after the end of the object");
    }
    return values;
  }

  private void addObject(String prefix) throws IOException {
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = prefix + parser.currentName();
      addValue(parser.nextToken(), key);
    }
  }

  private void addValue(JsonToken token, String key) throws IOException {
    if (token == JsonToken.START_OBJECT) {
      addObject(key + ".");
    } else if (token == JsonToken.START_ARRAY) {
      addArray(key);
    } else if (token != JsonToken.VALUE_NULL) {
      values.put(key, parser.getText());
    }
  }

  private void addArray(String key) throws IOException {
    StringBuilder joined = new StringBuilder();
    int count = 0;
    for (JsonToken token = parser.nextToken();
        token != JsonToken.END_ARRAY;
        token = parser.nextToken()) {
      if (token.isScalarValue()) {
        joined.append(count == 0 ? "" : ",").append(parser.getText());
      } else {
        addValue(token, key + "." + count);
      }
      count++;
    }
    values.put(key, joined.toString());
    values.put(key + ConfigValues.COUNT_SUFFIX, Integer.toString(count));
  }
}
