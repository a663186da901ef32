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
final class ClientInbox implements ClientMessageQueue {

  /** Maximum number of events that are delivered but not handled yet. */
  private static final int MAX_UNHANDLED = 8;

  /** What an entry stands for. */
  private enum Kind {
    MESSAGE,
    DISCARDED_QUERIES,
    ENCRYPTION_REQUESTS,
    MESSAGE_STARTED
  }

  /** A message, or messages that followed one another and are answered alike. */
  private static final class Entry {
    private final Kind kind;
    private final Gateway.Event event;
    private int count;

    private Entry(Kind kind, Gateway.Event event) {
      this.kind = kind;
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

  /** Adds a message; like after the other methods, {@link #deliver} must be called afterwards. */
  @Override
  public void add(Gateway.Event event) {
    addEntry(Kind.MESSAGE, event);
  }

  @Override
  public void addDiscardedQuery() {
    addAlike(Kind.DISCARDED_QUERIES);
  }

  @Override
  public void addEncryptionRequest() {
    addAlike(Kind.ENCRYPTION_REQUESTS);
  }

  @Override
  public void addMessageStarted() {
    addEntry(Kind.MESSAGE_STARTED, g -> g.clients().messageStarted(connectionId));
  }

  /** Counts messages that are answered alike in one entry, as no limit counts their entries. */
  private void addAlike(Kind kind) {
    dropMessageStarted();
    Entry last = entries.peekLast();
    if (last == null || last.kind != kind) {
      addEntry(kind, null);
      last = entries.peekLast();
    }
    last.count++;
  }

  private void addEntry(Kind kind, Gateway.Event event) {
    dropMessageStarted();
    entries.add(new Entry(kind, event));
    hasEntries = true;
  }

  /** Drops the note that a message has started once it has ended, before it was delivered. */
  private void dropMessageStarted() {
    Entry last = entries.peekLast();
    if (last != null && last.kind == Kind.MESSAGE_STARTED) {
      entries.pollLast();
    }
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
    int count = entry.count;
    return switch (entry.kind) {
      case MESSAGE, MESSAGE_STARTED -> entry.event;
      case DISCARDED_QUERIES -> g -> g.pipeline().queriesDiscarded(connectionId, count);
      case ENCRYPTION_REQUESTS -> g -> g.pipeline().encryptionRequested(connectionId, count);
    };
  }

  /** Called by the event loop after each delivered event. */
  private void eventHandled() {
    if (unhandled.decrementAndGet() == 0 && hasEntries && !paused) {
      processor.accept(this::deliver);
    }
  }
}
