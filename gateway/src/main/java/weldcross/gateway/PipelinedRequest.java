package weldcross.gateway;

import java.nio.ByteBuffer;
import weldcross.pgwire.ResponseAccount;

/** A client message that requires a response, from its start until the response is written. */
final class PipelinedRequest {

  final ClientConnection client;

  /** The routed statement; null for a message that the gateway answers itself. */
  RoutedRequest routed;

  /** The response; null until it is available, and after it was passed on to be written. */
  private ByteBuffer[] response;

  /** Accounts for the response if a server sent it. */
  private ResponseAccount responseMemory = ResponseAccount.UNLIMITED;

  PipelinedRequest(ClientConnection client) {
    this.client = client;
  }

  /**
   * Sets the response.
   *
   * @param memory accounts for the response until it is written
   */
  void setResponse(ResponseAccount memory, ByteBuffer... parts) {
    responseMemory = memory;
    response = parts;
  }

  boolean hasResponse() {
    return response != null;
  }

  /** Returns the response and drops it; its memory is passed on to the connection's. */
  ByteBuffer[] takeResponse() {
    responseMemory.stopWaiting();
    client.addUnwritten(responseMemory);
    responseMemory = ResponseAccount.UNLIMITED;
    ByteBuffer[] taken = response;
    response = null;
    return taken;
  }

  /** Drops the response, if there is one. */
  void dropResponse() {
    response = null;
    responseMemory.release();
  }
}
