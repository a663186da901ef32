package weldcross.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import weldcross.pgwire.ClientMessageDecoder;
import weldcross.pgwire.ServerMessageDecoder;
import weldcross.pgwire.ServerResponse;
import weldcross.pgwire.Statement;

/** Decoders of the streams of clients and servers, whose messages become events of the gateway. */
final class Streams {

  private Streams() {}

  /**
   * Returns a decoder of a client's stream.
   *
   * @param post takes events that concern this client alone
   * @param postAlways takes events that count even if this client disconnects
   * @param clock the time since the gateway's start
   * @param number of the client's connection
   */
  static ClientMessageDecoder client(
      Consumer<Gateway.Event> post,
      Consumer<Gateway.Event> postAlways,
      Supplier<Duration> clock,
      long number) {
    return new ClientMessageDecoder(new ClientEvents(post, postAlways, clock, number));
  }

  /**
   * Returns a decoder of a server's stream.
   *
   * @param number of the connection to the server
   */
  static ServerMessageDecoder server(Consumer<Gateway.Event> post, long number) {
    return new ServerMessageDecoder(new ServerEvents(post, number));
  }

  /** Posts the messages of one client as events. */
  private record ClientEvents(
      Consumer<Gateway.Event> post,
      Consumer<Gateway.Event> postAlways,
      Supplier<Duration> clock,
      long number)
      implements ClientMessageDecoder.Sink {

    @Override
    public void encryptionRequested() {
      post.accept(g -> g.pipeline().encryptionRequested(number));
    }

    @Override
    public void startupReceived() {
      post.accept(g -> g.pipeline().startupReceived(number));
    }

    @Override
    public void statementReceived(Statement statement) {
      Duration arrived = clock.get();
      post.accept(g -> g.pipeline().statementReceived(number, statement, arrived));
    }

    @Override
    public void emptyQueryReceived() {
      post.accept(g -> g.pipeline().emptyQueryReceived(number));
    }

    @Override
    public void statementRejected(String sqlState, String message) {
      post.accept(g -> g.pipeline().statementRejected(number, sqlState, message));
    }

    @Override
    public void messageStarted() {
      post.accept(g -> g.clients().messageStarted(number));
    }

    @Override
    public void protocolError(String sqlState, String message) {
      post.accept(g -> g.clients().protocolError(number, sqlState, message));
    }

    @Override
    public void terminated() {
      post.accept(g -> g.clients().terminated(number));
    }

    @Override
    public void cancelRequested(int processId, int secretKey) {
      postAlways.accept(g -> g.cancelRequests().received(number, processId, secretKey));
    }
  }

  /** Posts the messages of one server as events. */
  private record ServerEvents(Consumer<Gateway.Event> post, long number)
      implements ServerMessageDecoder.Sink {

    @Override
    public void ready() {
      post.accept(g -> g.serverConnections().sessionReady(number));
    }

    @Override
    public void responseReceived(ServerResponse response, boolean hasTrailingBytes) {
      post.accept(g -> g.serverConnections().responseReceived(number, response, hasTrailingBytes));
    }

    @Override
    public void responseStarted() {
      post.accept(g -> g.serverConnections().responseStarted(number));
    }

    @Override
    public void protocolError(String reason) {
      post.accept(g -> g.serverConnections().protocolError(number, reason));
    }
  }
}
