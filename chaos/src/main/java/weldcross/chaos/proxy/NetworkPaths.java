package weldcross.chaos.proxy;

import java.util.HashMap;
import java.util.Map;

/** The network paths between all hosts, by direction; {@link NetworkPath#OPEN} by default. */
final class NetworkPaths {

  private record Key(String from, String to) {}

  private final Map<Key, NetworkPath> paths = new HashMap<>();

  NetworkPath get(String from, String to) {
    return paths.getOrDefault(new Key(from, to), NetworkPath.OPEN);
  }

  void set(String from, String to, NetworkPath path) {
    paths.put(new Key(from, to), path);
  }

  boolean isCutInEitherDirection(Route route) {
    return get(route.from(), route.to()).cut() || get(route.to(), route.from()).cut();
  }
}
