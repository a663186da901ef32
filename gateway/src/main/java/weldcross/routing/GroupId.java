package weldcross.routing;

/**
 * A replica group: a primary and its replicas, which hold the same data.
 *
 * <p>{@code equals} and {@code hashCode} are written out because those that the compiler makes for
 * a record are linked when they are first called, which slows the start of the program.
 *
 * @param number unique among all groups
 */
public record GroupId(int number) {

  @Override
  public boolean equals(Object other) {
    return other instanceof GroupId id && id.number == number;
  }

  @Override
  public int hashCode() {
    return number;
  }
}
