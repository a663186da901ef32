package weldcross.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import weldcross.config.ConfigValues;

/** Sends requests to the control endpoint of a gateway. */
final class ControlClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int HTTP_OK = 200;

  /** Thrown if the gateway does not respond or rejects the request; the message says which. */
  static final class RequestFailedException extends Exception {
    private static final long serialVersionUID = 1;

    RequestFailedException(String message) {
      super(message);
    }

    RequestFailedException(String message, Throwable cause) {
      super(message, cause);
    }
  }

  private final String address;

  /**
   * Creates a client.
   *
   * @param address host and port of the control endpoint
   */
  ControlClient(String address) {
    this.address = address;
  }

  /**
   * Sends a request without a body.
   *
   * @return the response body, a JSON object
   * @throws RequestFailedException if there is no response or its status is not 200
   */
  String request(String method, String path) throws RequestFailedException, InterruptedException {
    HttpResponse<String> response;
    try {
      response = send(method, path);
    } catch (IOException | IllegalArgumentException e) {
      throw new RequestFailedException("no response from " + address + ": " + e, e);
    }
    if (response.statusCode() != HTTP_OK) {
      throw new RequestFailedException(parse(response.body()).text("fault", response.body()));
    }
    return response.body();
  }

  private HttpResponse<String> send(String method, String path)
      throws IOException, InterruptedException {
    return HttpClient.newBuilder()
        .connectTimeout(TIMEOUT)
        .build()
        .send(
            HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build(),
            HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
  }

  /** Parses a response body. */
  static ConfigValues parse(String json) {
    return ConfigValues.ofJson(json.getBytes(StandardCharsets.UTF_8));
  }
}
