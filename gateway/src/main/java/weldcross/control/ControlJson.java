package weldcross.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Writes the JSON response bodies of the control endpoint. */
final class ControlJson {

  private static final JsonFactory JSON = new JsonFactory();

  private ControlJson() {}

  /** Writes the fields of a JSON object. */
  interface Fields {
    void writeTo(JsonGenerator json) throws IOException;
  }

  /** Returns a JSON object with the given fields. */
  static String object(Fields fields) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      fields.writeTo(json);
      json.writeEndObject();
    } catch (IOException e) {
      // Only a bug in the caller can cause this: writing to memory does no I/O.
      throw new UncheckedIOException(e);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  /** Returns a JSON object with one text field. */
  static String object(String key, String value) {
    return object(json -> json.writeStringField(key, value));
  }

  /** Returns the response body of a failed request. */
  static String error(String message) {
    return object("fault", message);
  }
}
