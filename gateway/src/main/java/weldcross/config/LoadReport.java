package weldcross.config;

import java.math.BigDecimal;

/**
 * Load report of one server, limited to the values that routing uses.
 *
 * @param position replication position in seconds; null if the report does not contain it
 * @param primary whether the server is the primary of its group; null if the report does not
 *     contain it
 */
public record LoadReport(BigDecimal position, Boolean primary) {

  private static final String POSITION_KEY = "x0";
  private static final String PRIMARY_KEY = "x1";

  private static final int MAX_NUMBER_LENGTH = 40;
  private static final int MAX_INTEGER_DIGITS = 11;

  /**
   * Parses a report of comma-separated pairs; unknown names are ignored.
   *
   * @param pairs the report as sent by the server
   * @param separator the character between a name and its value
   * @throws NumberFormatException if a used value is not a number or exceeds the size limits
   */
  public static LoadReport read(String pairs, char separator) {
    BigDecimal position = null;
    Boolean primary = null;
    for (String pair : pairs.split(",", -1)) {
      int separatorIndex = pair.indexOf(separator);
      String name = pair.substring(0, Math.max(0, separatorIndex)).strip();
      if (name.equals(POSITION_KEY)) {
        position = number(pair.substring(separatorIndex + 1).strip());
      } else if (name.equals(PRIMARY_KEY)) {
        primary = number(pair.substring(separatorIndex + 1).strip()).signum() > 0;
      }
    }
    return new LoadReport(position, primary);
  }

  /**
   * Parses a number of limited size: with a large exponent, even a short text becomes a number
   * whose expansion exhausts the heap.
   */
  private static BigDecimal number(String text) {
    BigDecimal value = new BigDecimal(text);
    int integerDigits = value.precision() - value.scale();
    if (text.length() > MAX_NUMBER_LENGTH
        || integerDigits > MAX_INTEGER_DIGITS
        || integerDigits < -MAX_NUMBER_LENGTH) {
      throw new NumberFormatException(
          "number in load report exceeds the size limits: " + text.length() + " characters");
    }
    return value;
  }
}
