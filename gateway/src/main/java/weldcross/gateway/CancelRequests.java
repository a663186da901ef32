package weldcross.gateway;

import java.nio.ByteBuffer;
import java.util.Optional;
import weldcross.pgwire.MessageEncoder;

/**
 * Handles PostgreSQL's CancelRequest, which comes on a connection of its own and names another one
 * by the number and secret that its client was given.
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
   * Closes the connection that the request came on. Of the connection it names, the request open
   * longest is answered as cancelled and sent to no server any more.
   *
   * @param number of the connection that the request came on
   * @param process the number of the connection that it names
   * @param secret has to be that connection's secret, or nothing is cancelled
   */
  void received(long number, int process, int secret) {
    clients.terminated(number);
    ClientConnection client = clients.find(process);
    if (client == null || client.cancelSecret != secret) {
      return;
    }
    longestOpen(client)
        .ifPresent(
            request -> {
              attempts.abandon(request);
              attempts.answer(request, CANCELLED.duplicate());
              attempts.removeIfDone(request);
            });
  }

  private static Optional<RoutedRequest> longestOpen(ClientConnection client) {
    return client.inFlight.stream()
        .map(pipelined -> pipelined.routed)
        .filter(request -> request != null && !request.answered)
        .findFirst();
  }
}
