package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import weldcross.pgwire.ServerResponse;
import weldcross.routing.AttemptOutcome;

/** A request to a server, an attempt of an RPC or a health check; a connection carries one. */
abstract class ServerRequest {

  /** The connection that carries this; null before and after. */
  ServerConnection connection;

  /** Whether {@link #completed} was called. */
  boolean done;

  /**
   * Since when the session that answered this was open, so that the server has run for at least as
   * long; null if there was no answer.
   */
  Duration connectedSince;

  /** Returns the message; called when it is sent, as it has the time that is left. */
  abstract ByteBuffer[] message();

  /** Returns whether to send this still; called when its connection is ready, which takes time. */
  abstract boolean maySend();

  /**
   * Returns whether a server answers this at once or never, so that the connect timeout is enough
   * for the answer as well.
   */
  abstract boolean isAnsweredPromptly();

  /** Returns the tag with which a server completes this; null if any will do. */
  abstract String commandTag();

  /**
   * Ends this; called once.
   *
   * @param outcome how it ended
   * @param response what the server sent; null if nothing of it can be used
   */
  abstract void completed(AttemptOutcome outcome, ServerResponse response);
}
