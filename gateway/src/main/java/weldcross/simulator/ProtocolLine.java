package weldcross.simulator;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;

/**
 * A line of the simulator protocol: fields separated by single spaces, the first of which is the
 * message type.
 */
final class ProtocolLine {

  private static final char SEPARATOR = ' ';
  private static final String ABSENT = "-";
  private static final int NANOS_PER_MICRO = 1000;

  private final String text;
  private final String[] fields;

  ProtocolLine(String text) {
    this.text = text;
    this.fields = split(text);
  }

  private static String[] split(String text) {
    int count = 1;
    for (int at = text.indexOf(SEPARATOR); at >= 0; at = text.indexOf(SEPARATOR, at + 1)) {
      count++;
    }
    String[] fields = new String[count];
    int start = 0;
    for (int index = 0; index < count; index++) {
      int end = index == count - 1 ? text.length() : text.indexOf(SEPARATOR, start);
      fields[index] = text.substring(start, end);
      start = end + 1;
    }
    return fields;
  }

  String messageType() {
    return fields[0];
  }

  /** Returns all fields; the array must not be changed. */
  String[] fields() {
    return fields;
  }

  String field(int index) {
    if (index >= fields.length) {
      throw error("malformed line: field " + index + " is missing");
    }
    return fields[index];
  }

  /** Returns whether the field is the placeholder of an absent value. */
  boolean isAbsent(int index) {
    return field(index).equals(ABSENT);
  }

  boolean flag(int index) {
    return field(index).equals("1");
  }

  int integer(int index) {
    try {
      return Integer.parseInt(field(index));
    } catch (NumberFormatException e) {
      throw notNumber(index);
    }
  }

  long longInteger(int index) {
    try {
      return Long.parseLong(field(index));
    } catch (NumberFormatException e) {
      throw notNumber(index);
    }
  }

  long unsignedLong(int index) {
    try {
      return Long.parseUnsignedLong(field(index));
    } catch (NumberFormatException e) {
      throw notNumber(index);
    }
  }

  /** Returns the integer part of a number that may have a fraction. */
  int integerPart(int index) {
    try {
      return new BigDecimal(field(index)).intValue();
    } catch (NumberFormatException e) {
      throw notNumber(index);
    }
  }

  /**
   * Returns a duration, rounded down to whole microseconds.
   *
   * @param unitMicros unit of the field in microseconds
   */
  Duration duration(int index, int unitMicros) {
    String value = field(index);
    try {
      if (value.indexOf('.') < 0 && value.indexOf('e') < 0) {
        return Duration.ofNanos(Long.parseLong(value) * unitMicros * NANOS_PER_MICRO);
      }
      BigDecimal micros = new BigDecimal(value).multiply(BigDecimal.valueOf(unitMicros));
      return Duration.ofNanos(micros.setScale(0, RoundingMode.FLOOR).longValue() * NANOS_PER_MICRO);
    } catch (NumberFormatException e) {
      throw notNumber(index);
    }
  }

  /** Creates an exception for an error in this line. */
  SimulatorProtocolException error(String error) {
    return new SimulatorProtocolException(error, text);
  }

  private SimulatorProtocolException notNumber(int index) {
    return error("malformed line: field " + index + " is not a valid number: " + fields[index]);
  }
}
