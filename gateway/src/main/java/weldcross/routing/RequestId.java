package weldcross.routing;

/**
 * Identifies one client request. A retry by the client is a new request.
 *
 * <p>{@code equals} and {@code hashCode} are implemented explicitly because the ones generated for
 * a record are linked at their first call, which slows down startup.
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
