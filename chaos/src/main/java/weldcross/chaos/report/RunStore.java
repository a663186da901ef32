package weldcross.chaos.report;

import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import weldcross.chaos.history.ChaosRunResult;

/** Stores the result of a run as JSON in the run directory, so that it can be checked again. */
public final class RunStore {

  /** Kept as earlier versions named the file, so that their results stay readable. */
  private static final String FILE_NAME = "trial.json";

  private static final ObjectMapper MAPPER = mapper();

  private RunStore() {}

  /** Parses durations in ISO 8601 format. */
  private static final class DurationDeserializer extends FromStringDeserializer<Duration> {
    private static final long serialVersionUID = 1;

    DurationDeserializer() {
      super(Duration.class);
    }

    @Override
    protected Duration _deserialize(String text, DeserializationContext context) {
      return Duration.parse(text);
    }
  }

  private static ObjectMapper mapper() {
    SimpleModule durations = new SimpleModule();
    durations.addSerializer(Duration.class, new ToStringSerializer());
    durations.addDeserializer(Duration.class, new DurationDeserializer());
    return new ObjectMapper()
        .registerModule(durations)
        .configure(SerializationFeature.FAIL_ON_EMPTY_BEANS, false)
        .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
  }

  /**
   * Writes a result.
   *
   * @param result the result to store
   * @param directory existing run directory
   * @throws IOException if the result cannot be written
   */
  public static void write(ChaosRunResult result, Path directory) throws IOException {
    MAPPER.writeValue(directory.resolve(FILE_NAME).toFile(), result);
  }

  /**
   * Reads a result that this or an earlier version of the tool has written.
   *
   * @param directory run directory
   * @return the stored result
   * @throws IOException if the result does not exist or cannot be read
   */
  public static ChaosRunResult read(Path directory) throws IOException {
    return MAPPER.readValue(directory.resolve(FILE_NAME).toFile(), ChaosRunResult.class);
  }
}
