package weldcross.gateway;

import java.nio.ByteBuffer;
import java.util.Optional;
import weldcross.pgwire.MessageEncoder;

/**
 * Handles PostgreSQL's CancelRequest message, which arrives on a separate connection and identifies
 * the target connection by the process id and secret key that its client received at startup.
 */
final class CancelRequests {

  private static final ByteBuffer CANCELLED =
      MessageEncoder.error("57014", "cancelled by its client", null);

  private final ClientConnections clients;
  private final AttemptTracker attempts;

  CancelRequests(ClientConnections clients, AttemptTracker attempts) {
    this.clients = clients;
    this.attempts = attempts;
  }

  /**
   * Closes the connection that the CancelRequest arrived on and cancels the oldest unanswered
   * request of the target connection: its client receives an error, and no further attempt is sent.
   *
   * @param connectionId the connection that the CancelRequest arrived on
   * @param targetId the connection whose request is to be cancelled
   * @param secretKey must match the target connection's key; otherwise nothing is cancelled
   */
  void received(long connectionId, int targetId, int secretKey) {
    clients.terminated(connectionId);
    ClientConnection client = clients.find(targetId);
    if (client == null || client.secretKey != secretKey) {
      return;
    }
    oldestUnanswered(client)
        .ifPresent(
            request -> {
              attempts.abandon(request);
              attempts.answer(request, CANCELLED.duplicate());
              attempts.removeIfDone(request);
            });
  }

  private static Optional<RoutedRequest> oldestUnanswered(ClientConnection client) {
    return client.inFlight.stream()
        .map(pipelined -> pipelined.routed)
        .filter(request -> request != null && !request.answered)
        .findFirst();
  }
}
