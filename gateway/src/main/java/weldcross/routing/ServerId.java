package weldcross.routing;

/**
 * Identifies a database server. The ID is the same on every gateway and survives restarts of the
 * server process.
 *
 * <p>{@code equals} and {@code hashCode} are implemented explicitly because the ones generated for
 * a record are linked at their first call, which slows down startup.
 *
 * @param name unique among all servers; not null
 */
public record ServerId(String name) {

  @Override
  public boolean equals(Object other) {
    return other instanceof ServerId id && id.name.equals(name);
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
