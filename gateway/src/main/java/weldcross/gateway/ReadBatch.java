package weldcross.gateway;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What one round of reading has brought, told as a whole when it ends: first which clients have
 * gone, all of them as one event, then what the servers have said, then the others, each in its
 * order. Told as it is read, what a client asked before it went would be begun for nobody, and so
 * would what is held for the last of many that go together; and a read might be begun before the
 * answer to its session's write that had come earlier, as the sockets of a round are read in no
 * order.
 *
 * <p>Called by the processor's thread; synchronized for the rare end that another thread finds.
 */
final class ReadBatch {

  private record Told(long client, Gateway.Event event) {}

  private final Consumer<Gateway.Event> post;
  private final List<Gateway.Event> heard = new ArrayList<>();
  private final List<Told> told = new ArrayList<>();
  private final Set<Long> came = new LinkedHashSet<>(), went = new LinkedHashSet<>();

  /**
   * @param post takes the events, from any thread
   */
  ReadBatch(Consumer<Gateway.Event> post) {
    this.post = post;
  }

  synchronized void came(long client) {
    came.add(client);
    tell(client, g -> g.clients().accepted(client));
  }

  synchronized void went(long client) {
    went.add(client);
  }

  /**
   * Something that a client has said; it is told to nobody if the client goes in the same round.
   */
  synchronized void tell(long client, Gateway.Event event) {
    told.add(new Told(client, event));
  }

  /** Something that a server's connection has brought. */
  synchronized void heard(Gateway.Event event) {
    heard.add(event);
  }

  /** Something else, which is told whoever goes. */
  synchronized void tell(Gateway.Event event) {
    told.add(new Told(0, event));
  }

  synchronized void end() {
    if (went.isEmpty() && heard.isEmpty() && told.isEmpty()) {
      return;
    }
    List<Long> gone = went.stream().filter(c -> !came.contains(c)).toList();
    if (!gone.isEmpty()) {
      post.accept(g -> gone.forEach(g.clients()::disconnected));
    }
    heard.forEach(post);
    heard.clear();
    told.stream().filter(t -> !went.contains(t.client)).forEach(t -> post.accept(t.event));
    told.clear();
    came.clear();
    went.clear();
  }
}
