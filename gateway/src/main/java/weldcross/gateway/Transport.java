package weldcross.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * What the reducer asks of the world. Each is begun at once and never waits; what comes of it comes
 * back as an event. A connection is known by the number that its accepting or its dialling gave it.
 */
interface Transport {

  /**
   * The clock as it stands; within a turn of the reducer its own time does not move, however long
   * that lasts.
   */
  Duration now();

  void listen(InetSocketAddress at);

  /**
   * Talks to itself as a client, so that its sockets are quick before others use them; told when
   * done.
   */
  void warmUp();

  void stopListening();

  /** Hears other gateways at this address and speaks to them from it. */
  void listenForGossip(InetSocketAddress at);

  void connectToServer(long link, InetSocketAddress to);

  void connectToDiscovery(long link, InetSocketAddress to);

  /**
   * Writes the parts as one, from where they are; they must not change afterwards.
   *
   * @return whether all of it is out already; where it is not, an event tells when it is
   */
  boolean write(long connection, ByteBuffer... parts);

  /** Reads on, or lets what comes wait in the network. */
  void setReading(long connection, boolean on);

  /**
   * Tells, by an event, once all that has come in by now on any connection has been read and told.
   */
  void afterPendingReads(long connection);

  /** Ends a connection before anything that is asked for later. */
  void closeNow(long connection);

  /**
   * Ends sending to a client if no more than so many messages of it have been read and none has
   * begun, at the moment that all that has come in by now was; tells by an event whether it did.
   * What comes later is read and left, so that its connection is not reset under what it has not
   * read yet, until it is dropped.
   */
  void closeIfQuiet(long connection, int messages);

  /** Ends sending once all that was written to it is out; what comes later is read and left. */
  void closeGracefully(long connection);

  void sendGossip(InetSocketAddress to, byte[] message);
}
