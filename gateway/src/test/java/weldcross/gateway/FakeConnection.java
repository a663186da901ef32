package weldcross.gateway;

import java.time.Duration;
import weldcross.pgwire.ClientMessageDecoder;
import weldcross.pgwire.ServerMessageDecoder;

/** One connection of a {@link GatewayHarness}, from the view of the gateway's peer. */
final class FakeConnection {

  /** What the gateway wrote since the last call of {@link #takeReceived}. */
  final StringBuilder received = new StringBuilder();

  /** The name of the server; null for a connection to a client or to discovery. */
  String server;

  /** The port of discovery; zero for a connection to a client or to a server. */
  int discoveryPort;

  /** Whether the connection is established and neither side has closed it. */
  boolean open;

  /** Whether the gateway has closed the connection with {@link Transport#closeNow}. */
  boolean dropped;

  /** The statement that the server has not answered; null if there is none. */
  String statement;

  /** When the server last answered; null if it has not. */
  Duration answeredAt;

  /** The gateway's decoder for what the server sends; null if the peer is no server. */
  ServerMessageDecoder serverDecoder;

  /** The gateway's decoder for what the client sends; null if the peer is no client. */
  ClientMessageDecoder clientDecoder;

  /** Returns what the gateway wrote since the last call. */
  String takeReceived() {
    String text = received.toString();
    received.setLength(0);
    return text;
  }
}
