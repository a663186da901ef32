package weldcross.gateway;

import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * The received messages of one client that the event loop has not taken yet, in order. Messages are
 * received, and memory accounted for, whether or not the event loop takes them, so that the end of
 * a connection is seen behind all that its client has sent.
 *
 * <p>Except where a comment says otherwise, methods are called by the thread that reads.
 */
final class ClientInbox {

  /** Maximum number of events that are delivered but not handled yet. */
  private static final int MAX_UNHANDLED = 8;

  /** One event or, if that is null, queries that followed one another and were discarded. */
  private static final class Entry {
    private final Gateway.Event event;
    private int discardedQueries;

    private Entry(Gateway.Event event) {
      this.event = event;
    }
  }

  private final long connectionId;
  private final Consumer<Gateway.Event> post;
  private final Consumer<Runnable> processor;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private final AtomicInteger unhandled = new AtomicInteger();
  private volatile boolean paused;
  private volatile boolean hasEntries;

  /**
   * Creates an empty inbox.
   *
   * @param connectionId the client's connection
   * @param post passes an event to the event loop, unless the client disconnects meanwhile
   * @param processor runs a task on the thread that reads; may be called by any thread
   */
  ClientInbox(long connectionId, Consumer<Gateway.Event> post, Consumer<Runnable> processor) {
    this.connectionId = connectionId;
    this.post = post;
    this.processor = processor;
  }

  /** Adds an event; {@link #deliver} must be called afterwards. */
  void add(Gateway.Event event) {
    entries.add(new Entry(event));
    hasEntries = true;
  }

  /** Adds a query that was discarded; {@link #deliver} must be called afterwards. */
  void addDiscardedQuery() {
    Entry last = entries.peekLast();
    if (last == null || last.event != null) {
      add(null);
      last = entries.peekLast();
    }
    last.discardedQueries++;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Drops all that has not been delivered. */
  void clear() {
    entries.clear();
    hasEntries = false;
  }

  /** Pauses or resumes the delivery; called by the event loop. */
  void setDelivering(boolean delivering) {
    paused = !delivering;
    if (delivering) {
      processor.accept(this::deliver);
    }
  }

  /** Delivers events until paused, or until the event loop is behind. */
  void deliver() {
    while (!paused && unhandled.get() < MAX_UNHANDLED && !entries.isEmpty()) {
      Gateway.Event event = eventOf(entries.poll());
      unhandled.incrementAndGet();
      post.accept(
          gateway -> {
            event.accept(gateway);
            eventHandled();
          });
    }
    hasEntries = !entries.isEmpty();
  }

  private Gateway.Event eventOf(Entry entry) {
    if (entry.event != null) {
      return entry.event;
    }
    int count = entry.discardedQueries;
    return gateway -> gateway.pipeline().queriesDiscarded(connectionId, count);
  }

  /** Called by the event loop after each delivered event. */
  private void eventHandled() {
    if (unhandled.decrementAndGet() == 0 && hasEntries && !paused) {
      processor.accept(this::deliver);
    }
  }
}
