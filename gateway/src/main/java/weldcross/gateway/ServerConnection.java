package weldcross.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import weldcross.routing.ServerId;

/** State of one connection to a server, which {@link ServerConnectionPool} owns. */
final class ServerConnection {

  final long number;
  final ServerId server;
  final InetSocketAddress address;

  /** What this carries; null if it is idle. */
  ServerRequest request;

  /** Whether the connection was accepted. */
  boolean accepted;

  /** Whether the server has opened the session and takes requests. */
  boolean sessionReady;

  /** Whether some of the response to the current request has arrived. */
  boolean responseStarted;

  /** Number of messages that may not have been sent completely. */
  int unsentMessages;

  /** Number of steps taken; a timeout that was set in an earlier step is void. */
  int step;

  /** The step whose timeout has passed and waits for pending reads; -1 if there is none. */
  int overdueStep = -1;

  /** Since when the session is open; null before. */
  Duration readySince;

  /** Since when this is idle; null before it was for the first time. */
  Duration idleSince;

  /** How long this had been idle before the current request; null for a new connection. */
  Duration idleTime;

  ServerConnection(long number, ServerId server, InetSocketAddress address) {
    this.number = number;
    this.server = server;
    this.address = address;
  }
}
