package weldcross.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import weldcross.extension.StandaloneEventLoop;
import weldcross.mesh.PeerName;

@Timeout(30)
class ControlRequestHandlerTest {

  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

  private final StandaloneEventLoop loop = StandaloneEventLoop.start("gateway");
  private final HttpClient client = HttpClient.newHttpClient();
  private HttpServer server;

  @BeforeEach
  void listen() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.start();
  }

  @AfterEach
  void close() {
    server.stop(0);
    loop.stop();
  }

  private HttpResponse<String> post(String query, ControlRequestHandler.Action action)
      throws IOException, InterruptedException {
    server.createContext("/x", new ControlRequestHandler("POST", loop, RESPONSE_TIMEOUT, action));
    return send("POST", query);
  }

  private HttpResponse<String> send(String method, String query)
      throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + server.getAddress().getPort() + "/x" + query);
    HttpRequest request =
        HttpRequest.newBuilder(uri).method(method, HttpRequest.BodyPublishers.noBody()).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static void assertReply(int status, String body, HttpResponse<String> reply) {
    assertEquals(status, reply.statusCode());
    assertEquals(body, reply.body());
    assertEquals("application/json", reply.headers().firstValue("Content-Type").orElse(""));
  }

  @Test
  void actionResultIsTheResponseBody() throws Exception {
    HttpResponse<String> reply =
        post("", (name, response) -> response.complete(ControlJson.object("phase", "IN")));
    assertReply(200, "{\"phase\":\"IN\"}", reply);
  }

  @Test
  void nameParameterIsUrlDecoded() throws Exception {
    HttpResponse<String> reply =
        post(
            "?name=n%201",
            (name, response) ->
                response.complete(
                    ControlJson.object("name", name.map(PeerName::name).orElse("none"))));
    assertReply(200, "{\"name\":\"n 1\"}", reply);
  }

  @Test
  void queryWithoutNameParameterHasNoName() throws Exception {
    HttpResponse<String> reply =
        post(
            "?who=n1",
            (name, response) ->
                response.complete(ControlJson.object("name", name.isEmpty() ? "none" : "some")));
    assertReply(200, "{\"name\":\"none\"}", reply);
  }

  @Test
  void failedActionReturnsBadRequestWithItsMessage() throws Exception {
    HttpResponse<String> reply =
        post(
            "",
            (name, response) ->
                response.completeExceptionally(new IllegalArgumentException("a name is required")));
    assertReply(400, "{\"fault\":\"a name is required\"}", reply);
  }

  @Test
  void otherMethodReturnsNotFoundWithoutRunningTheAction() throws Exception {
    server.createContext(
        "/x",
        new ControlRequestHandler(
            "POST",
            loop,
            RESPONSE_TIMEOUT,
            (name, response) -> {
              throw new AssertionError("must not run");
            }));
    assertReply(404, "{\"fault\":\"unsupported method; use POST\"}", send("GET", ""));
  }

  @Test
  void actionWithoutAResultTimesOut() throws Exception {
    HttpResponse<String> reply = post("", (name, response) -> {});
    assertReply(
        504,
        "{\"fault\":\"no result within 1 s: there is no leader, or this gateway is partitioned from"
            + " it; the request may still take effect\"}",
        reply);
  }
}
