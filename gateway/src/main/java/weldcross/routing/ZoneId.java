package weldcross.routing;

/**
 * A data centre, hall or site.
 *
 * <p>What a record compares itself by is made when the program runs, at each start; here it is
 * written out.
 */
public record ZoneId(int number) {

  @Override
  public boolean equals(Object other) {
    return other instanceof ZoneId id && id.number == number;
  }

  @Override
  public int hashCode() {
    return number;
  }
}
