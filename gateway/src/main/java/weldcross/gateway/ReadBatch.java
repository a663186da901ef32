package weldcross.gateway;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Events of one pass over all readable sockets, posted together when it ends: first the clients
 * that disconnected, all as one event, then events of servers, then all others, each in its order.
 *
 * <p>Posted as it is read, a request of a client that disconnects in the same pass would be started
 * for nobody, and so would a request queued for the last of many clients that disconnect together.
 * And a read could be started before the response to its session's write that was received earlier,
 * as the sockets of a pass are read in no order.
 *
 * <p>Called by the thread that reads; synchronized as connections are rarely closed by others.
 */
final class ReadBatch {

  /** Stands for no client: real numbers of clients are positive. */
  private static final long NO_CLIENT = 0;

  private record ClientEvent(long client, Gateway.Event event) {}

  private final Consumer<Gateway.Event> post;
  private final List<Gateway.Event> serverEvents = new ArrayList<>();
  private final List<ClientEvent> otherEvents = new ArrayList<>();
  private final Set<Long> accepted = new LinkedHashSet<>();
  private final Set<Long> disconnected = new LinkedHashSet<>();

  /**
   * Creates an empty batch.
   *
   * @param post takes the events, from any thread
   */
  ReadBatch(Consumer<Gateway.Event> post) {
    this.post = post;
  }

  /** A client's connection was accepted. */
  synchronized void clientAccepted(long client) {
    accepted.add(client);
    addForClient(client, g -> g.clients().accepted(client));
  }

  /** A client's connection was closed by the client, or was lost. */
  synchronized void clientDisconnected(long client) {
    disconnected.add(client);
  }

  /** Adds an event of one client; left out if the client disconnects in the same pass. */
  synchronized void addForClient(long client, Gateway.Event event) {
    otherEvents.add(new ClientEvent(client, event));
  }

  /** Adds an event of a connection to a server. */
  synchronized void addForServer(Gateway.Event event) {
    serverEvents.add(event);
  }

  /** Adds an event that counts whichever client disconnects. */
  synchronized void add(Gateway.Event event) {
    otherEvents.add(new ClientEvent(NO_CLIENT, event));
  }

  /** Posts all events of the pass, and begins the next. */
  synchronized void postAll() {
    if (disconnected.isEmpty() && serverEvents.isEmpty() && otherEvents.isEmpty()) {
      return;
    }
    // Whoever was accepted in the same pass is unknown to the gateway.
    List<Long> gone = disconnected.stream().filter(client -> !accepted.contains(client)).toList();
    if (!gone.isEmpty()) {
      post.accept(g -> gone.forEach(g.clients()::disconnected));
    }
    serverEvents.forEach(post);
    serverEvents.clear();
    otherEvents.stream()
        .filter(other -> !disconnected.contains(other.client))
        .forEach(other -> post.accept(other.event));
    otherEvents.clear();
    accepted.clear();
    disconnected.clear();
  }
}
