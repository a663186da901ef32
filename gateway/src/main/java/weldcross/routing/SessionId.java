package weldcross.routing;

/**
 * The session whose writes a read has to see.
 *
 * <p>What a record compares itself by is made when the program runs, at each start; here it is
 * written out.
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
