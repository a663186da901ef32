package weldcross.routing;

/**
 * A database server. The id is the same at every gateway and stays the same when its process
 * restarts.
 *
 * <p>{@code equals} and {@code hashCode} are written out because those that the compiler makes for
 * a record are linked when they are first called, which slows the start of the program.
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
