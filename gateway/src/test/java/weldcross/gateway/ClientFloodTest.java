package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import weldcross.pgwire.MessageEncoder;

/** Many clients that send much at once to a gateway process with a small heap. */
@Timeout(120)
class ClientFloodTest {

  private static final int CLIENTS = 300;
  private static final int WRITES_PER_CLIENT = 8;

  /** The longest value, in hex digits. */
  private static final int VALUE_DIGITS = 2 * 65_536;

  private static final int CLIENT_TIMEOUT_MILLIS = 60_000;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private SmallHeapGateway gateway;

  @AfterEach
  void stop() throws Exception {
    threads.shutdownNow();
    gateway.close();
  }

  /**
   * Guards against a process that ends for lack of heap while clients send more than it can hold:
   * every write is answered, and the process runs on.
   */
  @Test
  void manyClientsThatSendLongWritesAtOnceAreAllAnswered(@TempDir Path directory) throws Exception {
    // Without discovery or servers, accepted requests are queued.
    gateway =
        new SmallHeapGateway(
            directory,
            new String(
                TestConfig.json("\"mayTell\":true", "\"mayTell\":false"), StandardCharsets.UTF_8));
    List<Future<Integer>> answers = new ArrayList<>();
    for (int client = 0; client < CLIENTS; client++) {
      String prefix = "m" + client + "x";
      answers.add(threads.submit(() -> sendAllAndCountAnswers(prefix)));
    }
    int answered = 0;
    for (Future<Integer> clientAnswers : answers) {
      answered += clientAnswers.get();
    }
    assertTrue(gateway.isRunning(), "the gateway process runs on");
    assertEquals(CLIENTS * WRITES_PER_CLIENT, answered);
  }

  /** Sends writes without waiting for answers; returns how many are answered. */
  private int sendAllAndCountAnswers(String idPrefix) throws Exception {
    int answered = 0;
    try (Socket socket = gateway.connect()) {
      socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      Future<?> sending =
          threads.submit(
              () -> {
                for (int index = 0; index < WRITES_PER_CLIENT; index++) {
                  socket.getOutputStream().write(write(idPrefix + index).array());
                }
                return null;
              });
      while (answered < WRITES_PER_CLIENT) {
        SmallHeapGateway.readResponse(in);
        answered++;
      }
      sending.get();
    }
    return answered;
  }

  private static ByteBuffer write(String id) {
    return MessageEncoder.query(
        "INSERT INTO kv (name, content) VALUES ('k', '\\x"
            + "a".repeat(VALUE_DIGITS)
            + "') RETURNING content /* id="
            + id
            + ",c=file,d=4000,cluster=0 */");
  }
}
