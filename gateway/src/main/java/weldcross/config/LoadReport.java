package weldcross.config;

import java.math.BigDecimal;

/**
 * What a server's report says of its data, under the names that the terms give.
 *
 * @param position in seconds; null where it is not told
 * @param primary null where it is not told
 */
public record LoadReport(BigDecimal position, Boolean primary) {

  private static final int LONGEST = 40;
  private static final int MOST_DIGITS = 11;

  /**
   * @param between what stands between a name and its value
   */
  public static LoadReport read(String pairs, char between) {
    BigDecimal position = null;
    Boolean primary = null;
    for (String pair : pairs.split(",")) {
      int at = pair.indexOf(between);
      String name = pair.substring(0, Math.max(0, at)).strip();
      if (name.equals("x0")) {
        position = number(pair.substring(at + 1).strip());
      } else if (name.equals("x1")) {
        primary = number(pair.substring(at + 1).strip()).signum() > 0;
      }
    }
    return new LoadReport(position, primary);
  }

  /**
   * Of a size that a time can have: exponents make short texts into numbers that fill all memory.
   */
  private static BigDecimal number(String text) {
    BigDecimal value = new BigDecimal(text);
    int whole = value.precision() - value.scale();
    if (text.length() > LONGEST || whole > MOST_DIGITS || whole < -LONGEST) {
      throw new NumberFormatException("no number of a report: " + text.length() + " characters");
    }
    return value;
  }
}
