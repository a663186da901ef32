package weldcross.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which requests are remembered. */
class ExecutedWritesTest {

  private final ExecutedWrites writes = new ExecutedWrites();

  @Test
  void recordedRequestIsRemembered() {
    writes.record(new RequestId("a"));
    writes.record(new RequestId("a"));
    assertTrue(writes.mayContain(new RequestId("a")));
    assertFalse(writes.mayContain(new RequestId("b")));
  }

  /** Guards against ids, which clients choose, that fill the heap. */
  @Test
  void oldestRequestsAreForgottenBeyondTheLimit() {
    String longName = "n".repeat(ExecutedWrites.MAX_BYTES / 4);
    for (int number = 0; number < 8; number++) {
      writes.record(new RequestId(longName + number));
    }
    assertFalse(writes.mayContain(new RequestId(longName + 4)));
    assertTrue(writes.mayContain(new RequestId(longName + 5)));
    assertTrue(writes.mayContain(new RequestId(longName + 7)));
  }
}
