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
 * Answers the requests of one path: has the action run on the gateway's thread, and waits for its
 * result on a thread of the HTTP server.
 */
final class ControlRequestHandler implements HttpHandler {

  /** What a request asks for. */
  interface Action {

    /**
     * Begins the action, on the gateway's thread.
     *
     * @param name the gateway that the request names; empty where it names none
     * @param response to be completed with the JSON body, at once or later; if exceptionally, the
     *     message is the fault in the reply
     */
    void begin(Optional<PeerName> name, CompletableFuture<String> response);
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
   * @param method the only HTTP method that is answered
   * @param timeout how long a request waits for its result
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
        reply(exchange, NOT_FOUND, ControlJson.fault(method + " is wanted here"));
        return;
      }
      Optional<PeerName> name = parseName(exchange.getRequestURI().getRawQuery());
      CompletableFuture<String> response = new CompletableFuture<>();
      context.post(() -> action.begin(name, response));
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
          "no answer in "
              + timeout.toSeconds()
              + " s: no leader, or this gateway is cut off; it may still be done";
      reply(exchange, GATEWAY_TIMEOUT, ControlJson.fault(message));
    } catch (ExecutionException e) {
      reply(exchange, BAD_REQUEST, ControlJson.fault(e.getCause().getMessage()));
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
