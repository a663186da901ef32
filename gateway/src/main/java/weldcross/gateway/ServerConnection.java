package weldcross.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import weldcross.routing.ServerId;
import weldcross.routing.Timer;

/** State of one connection to a server; owned by {@link ServerConnectionPool}. */
final class ServerConnection {

  final long number;
  final ServerId server;
  final InetSocketAddress address;

  /** The request that is in progress on this connection; null if it is idle. */
  ServerRequest request;

  /** Whether the server accepted the connection. */
  boolean accepted;

  /** Whether the server has sent ReadyForQuery, so that requests can be sent. */
  boolean sessionReady;

  /** Whether a part of the response to the current request was received. */
  boolean responseStarted;

  /** Number of messages that have not been reported as completely sent. */
  int unsentMessages;

  /** Number of the current step, which changes with each {@link #beginStep}. */
  int step;

  /** The timer of the step's timeout, after which pending reads may still complete the step. */
  private Timer timeout = Timer.NONE;

  /** The timer of the time after which the step has failed in any case. */
  private Timer finalTimeout = Timer.NONE;

  /** The step that has timed out unless pending reads complete it; -1 if there is none. */
  int overdueStep = -1;

  /** When the session became ready; null before that. */
  Duration readySince;

  /** When the connection last became idle; null if it never has. */
  Duration idleSince;

  /** How long the connection was idle before the current request; null for a new connection. */
  Duration idleTime;

  ServerConnection(long number, ServerId server, InetSocketAddress address) {
    this.number = number;
    this.server = server;
    this.address = address;
  }

  /** Begins the next step of the session, without a timeout. */
  void beginStep() {
    step++;
    cancelTimeouts();
  }

  /** Sets the timers of the current step, which its end cancels. */
  void setTimeouts(Timer timeout, Timer finalTimeout) {
    this.timeout = timeout;
    this.finalTimeout = finalTimeout;
  }

  /** Cancels the timers of the current step; called when the connection has ended. */
  void cancelTimeouts() {
    timeout.cancel();
    finalTimeout.cancel();
  }
}
