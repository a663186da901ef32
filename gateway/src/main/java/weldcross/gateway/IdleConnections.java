package weldcross.gateway;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import weldcross.routing.ServerId;

/** The idle connections of a pool, ordered by last use, for each server and for all of them. */
final class IdleConnections {

  private static final ArrayDeque<ServerConnection> NONE = new ArrayDeque<>();

  /** Idle connections of each server, most recently used first; servers without any are absent. */
  private final Map<ServerId, ArrayDeque<ServerConnection>> byServer = new HashMap<>();

  /** Idle connections of all servers, longest idle first. */
  private final LinkedHashSet<ServerConnection> all = new LinkedHashSet<>();

  /** Adds a connection that has just become idle. */
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

  /** Returns the most recently used connection to a server; null if there is none. */
  ServerConnection mostRecentlyUsed(ServerId server) {
    return byServer.getOrDefault(server, NONE).peekFirst();
  }

  /** Returns the least recently used connection to a server; null if there is none. */
  ServerConnection leastRecentlyUsed(ServerId server) {
    return byServer.getOrDefault(server, NONE).peekLast();
  }

  /** Returns a copy of the connections to a server, most recently used first. */
  List<ServerConnection> connectionsTo(ServerId server) {
    return List.copyOf(byServer.getOrDefault(server, NONE));
  }

  /**
   * Returns the connection that has been idle for longest, of all servers.
   *
   * @throws java.util.NoSuchElementException if there is none
   */
  ServerConnection longestIdle() {
    return all.iterator().next();
  }

  boolean isEmpty() {
    return all.isEmpty();
  }
}
