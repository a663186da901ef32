package weldcross.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * The I/O of a gateway, as its event loop asks for it. Each call starts something and never blocks;
 * the result comes back as an event. A connection is identified by a number: above zero for those
 * that were accepted, below zero for those that this gateway connected.
 */
interface Transport {

  /**
   * Returns the time since the start of the process. Unlike the time of the event loop, it goes on
   * within one turn of the loop.
   */
  Duration now();

  /**
   * Accepts clients from now on.
   *
   * @throws IllegalStateException if the address cannot be bound
   */
  void listen(InetSocketAddress address);

  /**
   * Connects to this gateway itself as a client, so that the JVM compiles what sockets use before
   * clients do; an event tells when that is done.
   */
  void warmUp();

  /** Accepts no more clients; connections that are open stay open. */
  void stopListening();

  /**
   * Receives gossip of other gateways at this address, from which gossip is sent as well.
   *
   * @throws IllegalStateException if the address cannot be bound
   */
  void listenForGossip(InetSocketAddress address);

  /** Sends a datagram; it may be lost. To be called after {@link #listenForGossip}. */
  void sendGossip(InetSocketAddress address, byte[] message);

  /** Connects to a server under the given number. */
  void connectToServer(long connection, InetSocketAddress address);

  /** Connects to discovery under the given number. */
  void connectToDiscovery(long connection, InetSocketAddress address);

  /**
   * Writes the parts as one message, without a copy; they must not change afterwards.
   *
   * @return whether the whole message was sent; if it was not, an event tells when it is
   */
  boolean write(long connection, ByteBuffer... parts);

  /** Sets whether messages of a client are read; if not, they wait in buffers. */
  void setReading(long connection, boolean reading);

  /**
   * Posts an event for the connection once everything that has arrived by now, on all connections,
   * was read and posted.
   */
  void afterPendingReads(long connection);

  /** Closes a connection, or cancels connecting, before anything that is asked for later. */
  void closeNow(long connection);

  /**
   * Half-closes a client's connection if it is quiet: no more than so many messages of it were
   * read, and none has begun, once everything that has arrived by now was read. An event tells
   * whether it did. What arrives later is read and ignored until {@link #closeNow}, as an unread
   * rest would reset the connection and take back what the client has not read yet.
   *
   * @param connection the client's connection
   * @param messages number of messages that the event loop knows of
   */
  void closeIfQuiet(long connection, int messages);

  /**
   * Looks whether a client's message is incomplete once all that has arrived of it was read,
   * however many reads that takes. An event tells if it is; none comes if the message has ended or
   * the connection is closed.
   *
   * @param connection the client's connection, whose reading is not paused
   * @param messages number of messages received before that one
   */
  void checkMessageIncomplete(long connection, int messages);

  /**
   * Half-closes a client's connection once everything that was written to it is sent; what arrives
   * later is read and ignored.
   */
  void closeGracefully(long connection);
}
