package weldcross.routing;

/**
 * A primary and its replicas, which hold the same data.
 *
 * <p>What a record compares itself by is made when the program runs, at each start; here it is
 * written out.
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
