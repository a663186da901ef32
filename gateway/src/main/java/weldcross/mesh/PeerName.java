package weldcross.mesh;

import java.util.Objects;

/** The name of another gateway, as its configuration has it. */
public record PeerName(String name) implements Comparable<PeerName> {

  public PeerName {
    Objects.requireNonNull(name);
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
