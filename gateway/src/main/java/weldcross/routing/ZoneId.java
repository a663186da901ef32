package weldcross.routing;

/**
 * Identifies a zone: a data centre, a hall or a site.
 *
 * <p>{@code equals} and {@code hashCode} are implemented explicitly because the ones generated for
 * a record are linked at their first call, which slows down startup.
 *
 * @param number unique among all zones
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
