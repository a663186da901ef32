package weldcross.terms;

import java.math.BigDecimal;

/**
 * What a server's report says of its data, under the names that the terms give.
 *
 * @param position in seconds; null where it is not told
 * @param primary null where it is not told
 */
public record LoadReport(BigDecimal position, Boolean primary) {

    /** @param between what stands between a name and its value */
    public static LoadReport read(String pairs, char between) {
        BigDecimal position = null;
        Boolean primary = null;
        for (String pair : pairs.split(",")) {
            int at = pair.indexOf(between);
            String name = pair.substring(0, Math.max(0, at)).strip();
            if (name.equals("x0")) {
                position = new BigDecimal(pair.substring(at + 1).strip());
            } else if (name.equals("x1")) {
                primary = new BigDecimal(pair.substring(at + 1).strip()).signum() > 0;
            }
        }
        return new LoadReport(position, primary);
    }
}
