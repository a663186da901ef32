package weldcross.routing;

/**
 * A zone: a data centre, a hall or a site.
 *
 * <p>{@code equals} and {@code hashCode} are written out because those that the compiler makes for
 * a record are linked when they are first called, which slows the start of the program.
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
