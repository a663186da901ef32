package weldcross.simulator;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;

/** One line of the simulator's wire: fields between single spaces, the first of them a word. */
final class WireLine {

  private static final char SEPARATOR = ' ';
  private static final String ABSENT = "-";
  private static final int NANOS_PER_MICRO = 1000;

  private final String text;
  private final String[] fields;

  WireLine(String text) {
    this.text = text;
    this.fields = split(text);
  }

  private static String[] split(String text) {
    int count = 1;
    for (int at = text.indexOf(SEPARATOR); at >= 0; at = text.indexOf(SEPARATOR, at + 1)) {
      count++;
    }
    String[] fields = new String[count];
    int from = 0;
    for (int index = 0; index < count; index++) {
      int to = index == count - 1 ? text.length() : text.indexOf(SEPARATOR, from);
      fields[index] = text.substring(from, to);
      from = to + 1;
    }
    return fields;
  }

  /** Returns the first field, which says what the line is. */
  String word() {
    return fields[0];
  }

  /** Returns all fields; the array must not be changed. */
  String[] fields() {
    return fields;
  }

  String field(int index) {
    if (index >= fields.length) {
      throw fault("malformed line, field " + index + " is missing");
    }
    return fields[index];
  }

  /** Whether the field holds the mark of a value that is not given. */
  boolean isAbsent(int index) {
    return field(index).equals(ABSENT);
  }

  boolean isOne(int index) {
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

  /** Returns the whole part of a number that may have a fraction. */
  int wholePart(int index) {
    try {
      return new BigDecimal(field(index)).intValue();
    } catch (NumberFormatException e) {
      throw notNumber(index);
    }
  }

  /**
   * Returns a duration, rounded down to whole microseconds.
   *
   * @param unitMicros the unit of the field in microseconds
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

  /** Returns the exception for a fault of this line. */
  SimulatorProtocolException fault(String fault) {
    return new SimulatorProtocolException(fault, text);
  }

  private SimulatorProtocolException notNumber(int index) {
    return fault("malformed line, field " + index + " is no such number, " + fields[index]);
  }
}
