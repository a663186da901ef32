package weldcross.routing;

/**
 * Identifies a replica group: a primary and its replicas, which hold the same data.
 *
 * <p>{@code equals} and {@code hashCode} are implemented explicitly because the ones generated for
 * a record are linked at their first call, which slows down startup.
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
