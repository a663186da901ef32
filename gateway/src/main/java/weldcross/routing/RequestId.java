package weldcross.routing;

/**
 * One try of a client; a client's repeat is another RPC.
 *
 * <p>What a record compares itself by is made when the program runs, at each start; here it is
 * written out.
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
