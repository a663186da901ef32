package weldcross.control;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import weldcross.extension.ExtensionContext;
import weldcross.mesh.PeerName;

/**
 * Handles the requests for one path: runs the action on the gateway's thread and waits for its
 * result on a thread of the HTTP server.
 */
final class ControlRequestHandler implements HttpHandler {

  /** The operation that a request performs. */
  interface Action {

    /**
     * Starts the action, on the gateway's thread.
     *
     * @param name the gateway named in the request; empty if none is named
     * @param response to be completed with the JSON response body, immediately or later; the
     *     message of an exceptional completion becomes the error message of the response
     */
    void start(Optional<PeerName> name, CompletableFuture<String> response);
  }

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final String NAME_PARAMETER = "name=";

  private final String method;
  private final ExtensionContext context;
  private final Duration timeout;
  private final Action action;

  /**
   * Creates a handler.
   *
   * @param method the only HTTP method accepted
   * @param timeout maximum time to wait for the result of an action
   */
  ControlRequestHandler(String method, ExtensionContext context, Duration timeout, Action action) {
    this.method = method;
    this.context = context;
    this.timeout = timeout;
    this.action = action;
  }

  @Override
  public void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      if (!exchange.getRequestMethod().equals(method)) {
        reply(exchange, NOT_FOUND, ControlJson.error("unsupported method; use " + method));
        return;
      }
      Optional<PeerName> name = parseName(exchange.getRequestURI().getRawQuery());
      CompletableFuture<String> response = new CompletableFuture<>();
      context.post(() -> action.start(name, response));
      awaitAndReply(exchange, response);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitAndReply(HttpExchange exchange, CompletableFuture<String> response)
      throws IOException, InterruptedException {
    try {
      reply(exchange, OK, response.get(timeout.toMillis(), TimeUnit.MILLISECONDS));
    } catch (TimeoutException e) {
      String message =
          "no result within "
              + timeout.toSeconds()
              + " s: there is no leader, or this gateway is partitioned from it;"
              + " the request may still take effect";
      reply(exchange, GATEWAY_TIMEOUT, ControlJson.error(message));
    } catch (ExecutionException e) {
      reply(exchange, BAD_REQUEST, ControlJson.error(e.getCause().getMessage()));
    }
  }

  private static Optional<PeerName> parseName(String query) {
    if (query == null || !query.startsWith(NAME_PARAMETER)) {
      return Optional.empty();
    }
    String encoded = query.substring(NAME_PARAMETER.length());
    return Optional.of(new PeerName(URLDecoder.decode(encoded, StandardCharsets.UTF_8)));
  }

  private static void reply(HttpExchange exchange, int status, String json) throws IOException {
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
