package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import weldcross.pgwire.ResponseAccount;
import weldcross.routing.Timer;

/**
 * The state of one client connection. Its requests run concurrently, and its responses are written
 * in the order in which the requests were received.
 */
final class ClientConnection {

  /** Assigned by the transport; positive. */
  final long id;

  /** Authorizes PostgreSQL's CancelRequest for requests of this connection. */
  final int secretKey;

  /** Requests that are received but not started, in the order received. */
  final ArrayDeque<WaitingMessages> waiting = new ArrayDeque<>(2);

  /** Requests that are started and whose responses are not yet written, in the order received. */
  final ArrayDeque<PipelinedRequest> inFlight = new ArrayDeque<>(2);

  /** Accounts for the responses to this client. */
  final ResponseMemory.ClientAccount responseMemory;

  /** The memory of the responses that are being written. */
  private final List<ResponseAccount> unwritten = new ArrayList<>(1);

  /** Whether a write is in progress; further responses wait for its completion. */
  boolean writing;

  /** Whether the connection accepts no more requests and responses. */
  boolean closed;

  /** The timer of the time within which the first statement must come. */
  Timer firstStatementTimer = Timer.NONE;

  /** The timer of the time within which the message that has begun must end. */
  Timer messageTimer = Timer.NONE;

  /** The timer that closes the connection once it is half-closed. */
  Timer lingerTimer = Timer.NONE;

  /** Whether a close was requested that takes effect only if nothing more has been received. */
  boolean closePending;

  /** Whether reading is paused because too many requests are outstanding. */
  boolean readPaused;

  /** Number of statements received, including invalid ones. */
  int statements;

  /** Number of complete messages received. */
  int messages;

  /** Number of messages that preceded the last partially received one; -1 if there was none. */
  private int messagesBeforePartial = -1;

  /** When the last response was written or, before the first one, the connection was accepted. */
  Duration idleSince;

  ClientConnection(
      long id, int secretKey, Duration now, ResponseMemory.ClientAccount responseMemory) {
    this.id = id;
    this.secretKey = secretKey;
    this.responseMemory = responseMemory;
    this.idleSince = now;
  }

  /** Records that a response is about to be written; see {@link #releaseUnwritten}. */
  void addUnwritten(ResponseAccount memory) {
    if (memory != ResponseAccount.UNLIMITED) {
      unwritten.add(memory);
    }
  }

  /** Gives back the memory of the responses that were written or cannot be written any more. */
  void releaseUnwritten() {
    unwritten.forEach(ResponseAccount::release);
    unwritten.clear();
  }

  /** Cancels the timers of the open connection. */
  void cancelTimers() {
    firstStatementTimer.cancel();
    messageTimer.cancel();
  }

  /** Records that the start of a message, but not all of it, has been received. */
  void messageStarted() {
    messagesBeforePartial = messages;
  }

  /** Whether the next message has been received in part. */
  boolean hasPartialMessage() {
    return messagesBeforePartial == messages;
  }

  /** Removes the next waiting messages; returns what starts them. Must not be called if none is. */
  Consumer<PipelinedRequest> takeWaiting() {
    WaitingMessages next = waiting.peek();
    Consumer<PipelinedRequest> start = next.takeNext();
    if (next.count() == 0) {
      waiting.poll();
    }
    return start;
  }

  /** Whether no request is outstanding and no response is being written. */
  boolean isIdle() {
    return inFlight.isEmpty() && !writing && waiting.isEmpty();
  }
}
