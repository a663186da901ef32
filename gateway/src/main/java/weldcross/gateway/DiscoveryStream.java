package weldcross.gateway;

import java.nio.ByteBuffer;
import weldcross.discovery.HttpResponseDecoder;

/** Decodes the HTTP responses of discovery and posts their events to {@link DiscoveryWatcher}. */
final class DiscoveryStream extends Stream {

  private final long number;
  private final EventLoop loop;
  private final HttpResponseDecoder decoder;

  /**
   * Creates the stream of one connection.
   *
   * @param number identifies the connection
   * @param loop receives the events
   */
  DiscoveryStream(long number, EventLoop loop) {
    this.number = number;
    this.loop = loop;
    this.decoder =
        new HttpResponseDecoder(
            (status, body) ->
                loop.post(gateway -> gateway.discovery().responseReceived(number, status, body)));
  }

  @Override
  void opened() {
    loop.post(gateway -> gateway.discovery().connected(number));
  }

  @Override
  void read(ByteBuffer in) throws HttpResponseDecoder.ProtocolException {
    decoder.feed(in);
    if (decoder.isInResponse()) {
      loop.post(gateway -> gateway.discovery().responseStarted(number));
    }
  }

  @Override
  void closed() {
    if (!connectionFailed) {
      decoder.endOfStream();
    }
    loop.post(gateway -> gateway.discovery().closed(number));
  }
}
