package weldcross.routing;

/**
 * A database server, the same at every gateway and across its restarts.
 *
 * <p>What a record compares itself by is made when the program runs, at each start; here it is
 * written out.
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
