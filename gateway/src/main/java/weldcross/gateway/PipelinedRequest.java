package weldcross.gateway;

import java.nio.ByteBuffer;

/** One message of a client that expects a response, from its start until the response is sent. */
final class PipelinedRequest {

  final ClientConnection client;

  /** The routed statement; null for a message that the gateway answers by itself. */
  RoutedRequest routed;

  /** The response; null until there is one. */
  ByteBuffer[] response;

  PipelinedRequest(ClientConnection client) {
    this.client = client;
  }
}
