package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * One client's connection: its requests run concurrently and are answered in the order received.
 */
final class ClientConnection {

  /** The number that the transport gave this connection; positive. */
  final long number;

  /** Whoever names this secret may cancel requests of this connection. */
  final int cancelSecret;

  /** Requests that are received but not started, in the order received. */
  final ArrayDeque<Consumer<PipelinedRequest>> waiting = new ArrayDeque<>(2);

  /** Requests that are started and whose responses are not written, in the order received. */
  final ArrayDeque<PipelinedRequest> inFlight = new ArrayDeque<>(2);

  /** Whether a write is under way; the next responses wait for its completion. */
  boolean writing;

  /** Whether the connection is closed to requests and responses. */
  boolean closed;

  /** Whether the transport was asked to close the connection if nothing more was received on it. */
  boolean closePending;

  /** Whether the transport was asked to read no more of it for the moment. */
  boolean readPaused;

  /** Number of statements received, valid or not. */
  int statements;

  /** Number of messages received. */
  int messages;

  /** Number of messages received before the last one that was seen to begin; -1 if none was. */
  private int messagesBeforePartial = -1;

  /** When the last response was written, or the connection accepted. */
  Duration idleSince;

  ClientConnection(long number, int cancelSecret, Duration now) {
    this.number = number;
    this.cancelSecret = cancelSecret;
    this.idleSince = now;
  }

  /** A message has begun, and its rest is still to come. */
  void messageStarted() {
    messagesBeforePartial = messages;
  }

  /** Whether a message has begun that the gateway has not received completely. */
  boolean hasPartialMessage() {
    return messagesBeforePartial == messages;
  }

  /** Whether nothing is received and unanswered, and nothing is being written. */
  boolean isIdle() {
    return inFlight.isEmpty() && !writing && waiting.isEmpty();
  }
}
