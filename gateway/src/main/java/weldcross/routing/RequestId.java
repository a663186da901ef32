package weldcross.routing;

/**
 * One request of a client; when the client retries it, that is another request.
 *
 * <p>{@code equals} and {@code hashCode} are written out because those that the compiler makes for
 * a record are linked when they are first called, which slows the start of the program.
 *
 * @param name unique among the open requests of a gateway; not null
 */
public record RequestId(String name) {

  @Override
  public boolean equals(Object other) {
    return other instanceof RequestId id && id.name.equals(name);
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
