package weldcross.routing;

/**
 * Identifies a client session, whose reads observe its own writes.
 *
 * <p>{@code equals} and {@code hashCode} are implemented explicitly because the ones generated for
 * a record are linked at their first call, which slows down startup.
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
