package weldcross.routing;

/**
 * A client session, whose reads see its own writes.
 *
 * <p>{@code equals} and {@code hashCode} are written out because those that the compiler makes for
 * a record are linked when they are first called, which slows the start of the program.
 *
 * @param name unique among all sessions; not null
 */
public record SessionId(String name) {

  @Override
  public boolean equals(Object other) {
    return other instanceof SessionId id && id.name.equals(name);
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
