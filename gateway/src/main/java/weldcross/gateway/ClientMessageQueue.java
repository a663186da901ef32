package weldcross.gateway;

import java.util.function.Consumer;

/** Takes the messages of one client in the order received. */
interface ClientMessageQueue {

  /** Adds a message. */
  void add(Gateway.Event event);

  /** Adds a query that was not held, for lack of memory. */
  void addDiscardedQuery();

  /** Adds a request for encryption. */
  void addEncryptionRequest();

  /** Adds the note that a part of the next message was received. */
  void addMessageStarted();

  /**
   * Returns a queue that passes on each message at once.
   *
   * @param connectionId the client's connection
   * @param post receives the events
   */
  static ClientMessageQueue direct(long connectionId, Consumer<Gateway.Event> post) {
    return new ClientMessageQueue() {
      @Override
      public void add(Gateway.Event event) {
        post.accept(event);
      }

      @Override
      public void addDiscardedQuery() {
        post.accept(gateway -> gateway.pipeline().queriesDiscarded(connectionId, 1));
      }

      @Override
      public void addEncryptionRequest() {
        post.accept(gateway -> gateway.pipeline().encryptionRequested(connectionId, 1));
      }

      @Override
      public void addMessageStarted() {
        post.accept(gateway -> gateway.clients().messageStarted(connectionId));
      }
    };
  }
}
