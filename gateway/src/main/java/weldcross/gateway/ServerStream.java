package weldcross.gateway;

import java.nio.ByteBuffer;
import weldcross.pgwire.ResponseAccount;
import weldcross.pgwire.ServerMessageDecoder;

/** Handles a connection to a server and posts its events to {@link ServerConnectionPool}. */
final class ServerStream extends Stream {

  private final long number;
  private final ReadBatch batch;
  private final EventLoop loop;
  private final ServerMessageDecoder decoder;

  /**
   * Creates the stream of one connection.
   *
   * @param number identifies the connection
   * @param batch receives the events of the open connection
   * @param loop receives the event of a failure to connect
   */
  ServerStream(long number, ReadBatch batch, EventLoop loop) {
    this.number = number;
    this.batch = batch;
    this.loop = loop;
    this.decoder = MessageDecoders.forServer(batch::addForServer, number);
  }

  @Override
  void opened() {
    batch.addForServer(gateway -> gateway.serverConnections().connected(number));
  }

  /** Allows one response; called before each write, by the thread that requests it. */
  void expectResponse(ResponseAccount memory) {
    decoder.expectResponse(memory);
  }

  @Override
  void read(ByteBuffer in) {
    decoder.feed(in);
  }

  @Override
  void written() {
    batch.addForServer(gateway -> gateway.serverConnections().written(number));
  }

  @Override
  void closed() {
    batch.addForServer(
        gateway -> gateway.serverConnections().closed(number, decoder.partialResponse()));
  }

  @Override
  void connectFailed() {
    loop.post(gateway -> gateway.serverConnections().closed(number, null));
  }

  @Override
  void resetOnConnect() {
    loop.post(gateway -> gateway.serverConnections().connectionReset(number));
  }
}
