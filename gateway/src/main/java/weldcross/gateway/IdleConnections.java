package weldcross.gateway;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import weldcross.routing.ServerId;

/** The idle connections of a pool, by server and by the time since when they are idle. */
final class IdleConnections {

  private static final ArrayDeque<ServerConnection> NONE = new ArrayDeque<>();

  /** Most recently used first; without servers that have none. */
  private final Map<ServerId, ArrayDeque<ServerConnection>> byServer = new HashMap<>();

  /** Idle for longest first. */
  private final LinkedHashSet<ServerConnection> all = new LinkedHashSet<>();

  /** Adds a connection that is idle as of now. */
  void add(ServerConnection connection) {
    byServer.computeIfAbsent(connection.server, s -> new ArrayDeque<>()).addFirst(connection);
    all.add(connection);
  }

  /** Removes a connection; does nothing if it is not idle. */
  void remove(ServerConnection connection) {
    if (all.remove(connection)) {
      byServer.computeIfPresent(
          connection.server,
          (server, idle) -> idle.remove(connection) && idle.isEmpty() ? null : idle);
    }
  }

  /** Returns the connection to a server that was idle last; null if there is none. */
  ServerConnection mostRecent(ServerId server) {
    return byServer.getOrDefault(server, NONE).peekFirst();
  }

  /** Returns the connection to a server that is idle for longest; null if there is none. */
  ServerConnection leastRecent(ServerId server) {
    return byServer.getOrDefault(server, NONE).peekLast();
  }

  /** Returns a copy of the connections to a server, most recently used first. */
  List<ServerConnection> of(ServerId server) {
    return List.copyOf(byServer.getOrDefault(server, NONE));
  }

  /** Returns the connection that is idle for longest; fails if there is none. */
  ServerConnection longestIdle() {
    return all.iterator().next();
  }

  boolean isEmpty() {
    return all.isEmpty();
  }
}
