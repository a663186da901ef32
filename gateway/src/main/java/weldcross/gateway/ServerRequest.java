package weldcross.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import weldcross.pgwire.ServerResponse;
import weldcross.routing.AttemptOutcome;

/** What a connection to a server carries, one at a time: an RPC's call-out or a probe. */
abstract class ServerRequest {

  /** The connection that carries it; null before and after. */
  ServerConnectionPool.Link link;

  boolean done;

  /**
   * Since when its connection was open, once that has answered: the server's process is no younger.
   */
  Duration connectedSince;

  /** What goes out, worded when it goes: the time left is part of it. */
  abstract ByteBuffer[] message();

  /** Asked when its connection is up: whether it is still to go out, as a dial takes time. */
  abstract boolean maySend();

  /**
   * Whether its answer is given at once or never, so that it is waited for no longer than for a
   * dial.
   */
  abstract boolean isAnsweredPromptly();

  /** How the answer to it is completed; null where nothing is passed on. */
  abstract String commandTag();

  /** Called once, however it ends. */
  abstract void completed(AttemptOutcome outcome, ServerResponse answer);
}
