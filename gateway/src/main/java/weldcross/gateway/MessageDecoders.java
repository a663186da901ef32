package weldcross.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import weldcross.pgwire.ClientMessageDecoder;
import weldcross.pgwire.ServerMessageDecoder;
import weldcross.pgwire.ServerResponse;
import weldcross.pgwire.Statement;

/** Creates decoders for clients and servers that post the decoded messages as gateway events. */
final class MessageDecoders {

  private MessageDecoders() {}

  /**
   * Returns a decoder for what a client sends.
   *
   * @param post receives events that may be discarded if this client disconnects
   * @param postAlways receives events that must be handled even if this client disconnects
   * @param clock the time since the gateway's start
   * @param number identifies the client's connection
   */
  static ClientMessageDecoder forClient(
      Consumer<Gateway.Event> post,
      Consumer<Gateway.Event> postAlways,
      Supplier<Duration> clock,
      long number) {
    ClientMessageQueue queue = ClientMessageQueue.direct(number, post);
    return forClient(queue, postAlways, clock, number, ClientMemory.unlimitedAccount());
  }

  /**
   * Returns a decoder for what a client sends that refuses messages for which there is no memory.
   *
   * @param queue receives events that may be discarded if this client disconnects
   * @param postAlways receives events that must be handled even if this client disconnects
   * @param clock the time since the gateway's start
   * @param number identifies the client's connection
   * @param memory accounts for the client's messages
   */
  static ClientMessageDecoder forClient(
      ClientMessageQueue queue,
      Consumer<Gateway.Event> postAlways,
      Supplier<Duration> clock,
      long number,
      ClientMemory.Account memory) {
    return new ClientMessageDecoder(new ClientEvents(queue, postAlways, clock, number, memory));
  }

  /**
   * Returns a decoder for what a server sends.
   *
   * @param post receives the events
   * @param number identifies the connection to the server
   */
  static ServerMessageDecoder forServer(Consumer<Gateway.Event> post, long number) {
    return new ServerMessageDecoder(new ServerEvents(post, number));
  }

  /** Posts the messages of one client as events. */
  private record ClientEvents(
      ClientMessageQueue queue,
      Consumer<Gateway.Event> postAlways,
      Supplier<Duration> clock,
      long number,
      ClientMemory.Account memory)
      implements ClientMessageDecoder.Sink {

    @Override
    public void encryptionRequested() {
      queue.addEncryptionRequest();
    }

    @Override
    public void startupReceived() {
      queue.add(gateway -> gateway.pipeline().startupReceived(number));
    }

    @Override
    public void statementReceived(Statement statement) {
      Duration receivedAt = clock.get();
      ClientMemory.RequestMemory held = memory.messageReceived(statement.textBytes());
      queue.add(
          gateway -> gateway.pipeline().statementReceived(number, statement, receivedAt, held));
    }

    @Override
    public void emptyQueryReceived() {
      ClientMemory.RequestMemory held = memory.messageReceived();
      queue.add(
          gateway -> {
            held.release();
            gateway.pipeline().emptyQueryReceived(number);
          });
    }

    @Override
    public void statementRejected(String sqlState, String message) {
      ClientMemory.RequestMemory held = memory.messageReceived();
      queue.add(
          gateway -> {
            held.release();
            gateway.pipeline().statementRejected(number, sqlState, message);
          });
    }

    @Override
    public boolean admitQuery(int size) {
      return memory.admit(size);
    }

    @Override
    public void queryDiscarded() {
      queue.addDiscardedQuery();
    }

    @Override
    public void messageStarted() {
      queue.addMessageStarted();
    }

    @Override
    public void protocolError(String sqlState, String message) {
      queue.add(gateway -> gateway.clients().protocolError(number, sqlState, message));
    }

    @Override
    public void terminated() {
      queue.add(gateway -> gateway.clients().terminated(number));
    }

    @Override
    public void cancelRequested(int processId, int secretKey) {
      postAlways.accept(gateway -> gateway.cancelRequests().received(number, processId, secretKey));
    }
  }

  /** Posts the messages of one server as events. */
  private record ServerEvents(Consumer<Gateway.Event> post, long number)
      implements ServerMessageDecoder.Sink {

    @Override
    public void ready() {
      post.accept(gateway -> gateway.serverConnections().sessionReady(number));
    }

    @Override
    public void responseReceived(ServerResponse response, boolean hasTrailingBytes) {
      post.accept(
          gateway ->
              gateway.serverConnections().responseReceived(number, response, hasTrailingBytes));
    }

    @Override
    public void responseStarted() {
      post.accept(gateway -> gateway.serverConnections().responseStarted(number));
    }

    @Override
    public void protocolError(String reason) {
      post.accept(gateway -> gateway.serverConnections().protocolError(number, reason));
    }
  }
}
