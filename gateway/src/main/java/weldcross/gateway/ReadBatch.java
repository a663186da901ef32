package weldcross.gateway;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Collects the events of one pass over all readable sockets and posts them together at its end:
 * first the disconnects of clients as a single event, then the events of servers, then all others.
 * Within each group the order is kept.
 *
 * <p>If each event were posted as soon as it is read, a request would be started although its
 * client disconnects in the same pass. If several clients disconnect together, each disconnect
 * would let the next queued request start, although its client has disconnected, too. A read
 * request could also be routed before the response to the preceding write of its session is
 * handled, as the sockets of a pass are read in no particular order.
 *
 * <p>Called by the thread that reads the sockets. Synchronized because other threads may close
 * connections, although they rarely do.
 */
final class ReadBatch {

  /** Placeholder for events that belong to no client; the numbers of clients are positive. */
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
   * @param post receives the events; may be called by any thread
   */
  ReadBatch(Consumer<Gateway.Event> post) {
    this.post = post;
  }

  /** Records that a client's connection was accepted. */
  synchronized void clientAccepted(long client) {
    accepted.add(client);
    addForClient(client, gateway -> gateway.clients().accepted(client));
  }

  /** Records that a client's connection was closed by the client or lost. */
  synchronized void clientDisconnected(long client) {
    disconnected.add(client);
  }

  /** Adds an event of one client; it is discarded if the client disconnects in the same pass. */
  synchronized void addForClient(long client, Gateway.Event event) {
    otherEvents.add(new ClientEvent(client, event));
  }

  /** Adds an event of a connection to a server. */
  synchronized void addForServer(Gateway.Event event) {
    serverEvents.add(event);
  }

  /** Adds an event that is posted whether or not clients disconnect in the same pass. */
  synchronized void add(Gateway.Event event) {
    otherEvents.add(new ClientEvent(NO_CLIENT, event));
  }

  /** Posts all events of the pass and clears the batch for the next one. */
  synchronized void postAll() {
    if (disconnected.isEmpty() && serverEvents.isEmpty() && otherEvents.isEmpty()) {
      return;
    }
    // The gateway does not know clients that were accepted and disconnected in the same pass.
    List<Long> knownClients =
        disconnected.stream().filter(client -> !accepted.contains(client)).toList();
    if (!knownClients.isEmpty()) {
      post.accept(gateway -> knownClients.forEach(gateway.clients()::disconnected));
    }
    serverEvents.forEach(post);
    serverEvents.clear();
    otherEvents.stream()
        .filter(clientEvent -> !disconnected.contains(clientEvent.client))
        .forEach(clientEvent -> post.accept(clientEvent.event));
    otherEvents.clear();
    accepted.clear();
    disconnected.clear();
  }
}
