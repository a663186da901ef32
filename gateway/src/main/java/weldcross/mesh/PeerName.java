package weldcross.mesh;

import java.util.Objects;

/**
 * The configured name of a gateway.
 *
 * @param name the name as configured; never null
 */
public record PeerName(String name) implements Comparable<PeerName> {

  /** Rejects null. */
  public PeerName {
    Objects.requireNonNull(name, "name");
  }

  @Override
  public int compareTo(PeerName other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
