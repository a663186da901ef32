package weldcross.gateway;

import java.time.Duration;
import weldcross.pgwire.ClientMessageDecoder;
import weldcross.pgwire.ServerMessageDecoder;

/** One connection of a {@link GatewayHarness}, as its other side has it. */
final class FakeConnection {

  /** What the gateway wrote and nobody has taken. */
  final StringBuilder received = new StringBuilder();

  /** The name of the server; null for a connection to a client or to discovery. */
  String server;

  /** The port of the address of discovery; zero for all others. */
  int discoveryPort;

  /** Whether it is up and was not closed by either side. */
  boolean open;

  /** Whether the gateway has dropped it. */
  boolean dropped;

  /** The statement that a server has not answered; null if there is none. */
  String statement;

  /** When a server last answered; null if it has not. */
  Duration answeredAt;

  /** The gateway's decoder of what a server sends; null for others. */
  ServerMessageDecoder serverDecoder;

  /** The gateway's decoder of what a client sends; null for others. */
  ClientMessageDecoder clientDecoder;

  /** Takes what the gateway wrote since the last call. */
  String takeReceived() {
    String all = received.toString();
    received.setLength(0);
    return all;
  }
}
