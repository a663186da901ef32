package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import weldcross.pgwire.ServerResponse;
import weldcross.routing.AttemptOutcome;

/** A request to a server: an attempt or a health check. A connection carries one at a time. */
abstract class ServerRequest {

  /** The connection that carries this request; null before it is assigned and after it ended. */
  ServerConnection connection;

  /** Whether the request has ended, see {@link #completed}. */
  boolean done;

  /**
   * When the session that answered this request became ready; the server process has been running
   * at least since then. Null if there was no response.
   */
  Duration connectedSince;

  /** Returns the message; called when it is sent, because it contains the remaining time. */
  abstract ByteBuffer[] message();

  /**
   * Returns whether the request may still be sent; called when its connection is ready, which may
   * be long after it was routed.
   */
  abstract boolean maySend();

  /**
   * Returns whether a working server answers this request immediately, so that the connect timeout
   * applies to the response as well.
   */
  abstract boolean isAnsweredPromptly();

  /** Returns the tag expected in CommandComplete; null to accept any. */
  abstract String commandTag();

  /** Returns the account of the client for whom the response is held. */
  abstract ResponseMemory.ClientAccount responseMemory();

  /**
   * Called once, when the request ends. Whoever keeps the response longer than this call takes its
   * memory ({@link ServerResponse#takeMemory}).
   *
   * @param outcome how it ended
   * @param response the response of the server; null if there is none that can be used
   */
  abstract void completed(AttemptOutcome outcome, ServerResponse response);
}
