package weldcross.gateway;

import java.nio.ByteBuffer;

/** A client message that requires a response, from its start until the response is written. */
final class PipelinedRequest {

  final ClientConnection client;

  /** The routed statement; null for a message that the gateway answers itself. */
  RoutedRequest routed;

  /** The response; null until it is available. */
  ByteBuffer[] response;

  PipelinedRequest(ClientConnection client) {
    this.client = client;
  }
}
