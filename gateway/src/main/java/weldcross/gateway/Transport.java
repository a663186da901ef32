package weldcross.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import weldcross.pgwire.ResponseAccount;

/**
 * The I/O that a gateway's event loop requests. No call blocks; results are posted as events. A
 * connection is identified by a number: positive for accepted connections, negative for those that
 * this gateway opened.
 */
interface Transport {

  /**
   * Returns the current time since the start of the process. The time of the event loop, in
   * contrast, does not change within one event.
   */
  Duration now();

  /** Describes the state for the log; empty if there is nothing to tell. */
  default String describe() {
    return "";
  }

  /**
   * Starts to accept clients.
   *
   * @throws IllegalStateException if the address cannot be bound
   */
  void listen(InetSocketAddress address);

  /**
   * Connects to this gateway itself as a client, so that the JVM compiles the I/O code before real
   * clients use it. Posts an event when that is done.
   */
  void warmUp();

  /** Stops accepting clients; open connections are not closed. */
  void stopListening();

  /**
   * Starts to receive gossip of other gateways at this address, which is also the source address of
   * the gossip sent.
   *
   * @throws IllegalStateException if the address cannot be bound
   */
  void listenForGossip(InetSocketAddress address);

  /** Sends a datagram, which may be lost. Must be called after {@link #listenForGossip}. */
  void sendGossip(InetSocketAddress address, byte[] message);

  /** Connects to a server; the connection gets the given number. */
  void connectToServer(long connection, InetSocketAddress address);

  /** Connects to discovery; the connection gets the given number. */
  void connectToDiscovery(long connection, InetSocketAddress address);

  /**
   * Allows one response of a server; must be called before each message that is written to it.
   *
   * @param memory accounts for the response
   */
  void expectResponse(long connection, ResponseAccount memory);

  /**
   * Writes the parts as one message without copying them; they must not change afterwards.
   *
   * @return whether the whole message was sent immediately; if not, an event is posted when it is
   */
  boolean write(long connection, ByteBuffer... parts);

  /** Resumes or pauses passing on messages of a client, which are received all the same. */
  void setReading(long connection, boolean reading);

  /**
   * Returns whether a client has disconnected, also if that was not handled yet, or may have:
   * reading has fallen behind what it sends, so that its disconnect may lie unread behind the rest.
   * Nothing may be begun for it then.
   */
  default boolean mayBeDisconnected(long connection) {
    return false;
  }

  /**
   * Posts an event for the connection after everything that was received until now, on any
   * connection, was read and posted.
   */
  void afterPendingReads(long connection);

  /** Closes a connection or cancels a pending one, before any later call takes effect. */
  void closeNow(long connection);

  /**
   * Half-closes a client's connection if it is quiet, that is, if everything received until now was
   * read and contains neither a message unknown to the event loop nor the beginning of one. Posts
   * an event with the result. What is received later is read and discarded until {@link #closeNow},
   * as unread bytes would reset the connection and the client could lose responses that it has not
   * read yet.
   *
   * @param connection the client's connection
   * @param messages number of messages that the event loop has received on the connection
   */
  void closeIfQuiet(long connection, int messages);

  /**
   * Checks whether a client's message is still incomplete after everything received of it was read,
   * however many reads that takes. Posts an event if it is; posts none if the message is complete
   * or the connection is closed.
   *
   * @param connection the client's connection, on which reading must not be paused
   * @param messages number of messages received before that one
   */
  void checkMessageIncomplete(long connection, int messages);

  /**
   * Half-closes a client's connection after everything written to it was sent; what is received
   * later is read and discarded.
   */
  void closeGracefully(long connection);
}
