package weldcross.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** The queries that the warm-up client sends, and its close. */
class WarmUpStreamTest {

  private static final long CONNECTION_ID = Long.MIN_VALUE;
  private static final ByteBuffer RESPONSE = ByteBuffer.allocate(0);

  private final List<String> calls = new ArrayList<>();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final WarmUpStream stream =
      new WarmUpStream(CONNECTION_ID, recordingTransport(), 3, () -> closed.set(true));

  /** A transport that records the names of the methods called. */
  private Transport recordingTransport() {
    return (Transport)
        Proxy.newProxyInstance(
            Transport.class.getClassLoader(),
            new Class<?>[] {Transport.class},
            (proxy, method, arguments) -> {
              calls.add(method.getName());
              return method.getReturnType() == boolean.class ? Boolean.TRUE : null;
            });
  }

  @Test
  void eachReadIsFollowedByAQueryAndTheLastOneByAClose() {
    stream.opened();
    for (int read = 0; read < 3; read++) {
      stream.read(RESPONSE);
    }
    assertEquals(List.of("write", "write", "write", "closeNow"), calls);
  }

  @Test
  void closedCallbackIsCalled() {
    stream.closed();
    assertTrue(closed.get());
  }
}
