package weldcross.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Writes the JSON bodies of the control endpoint. */
final class ControlJson {

  private static final JsonFactory JSON = new JsonFactory();

  private ControlJson() {}

  /** Writes the fields of an object. */
  interface Fields {
    void writeTo(JsonGenerator json) throws IOException;
  }

  /** One object with the given fields. */
  static String object(Fields fields) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      fields.writeTo(json);
      json.writeEndObject();
    } catch (IOException e) {
      // Only a fault of the code that writes: nothing here does I/O.
      throw new UncheckedIOException(e);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  /** One object with one text field. */
  static String object(String key, String value) {
    return object(json -> json.writeStringField(key, value));
  }

  /** The body of a request that failed. */
  static String fault(String message) {
    return object("fault", message);
  }
}
