package weldcross.routing;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Remembers the latest requests that must not run twice and that a server may have executed, so
 * that a repetition is not sent to a server. A client that disconnects before its answer may send
 * the same request on a new connection. Memory is limited; the oldest requests are forgotten first.
 * Does no I/O; not thread-safe.
 */
public final class ExecutedWrites {

  /** Maximum memory of the requests, in bytes. */
  static final int MAX_BYTES = 1 << 20;

  /** What a request occupies beside the characters of its id, in bytes. */
  static final int OVERHEAD_BYTES = 128;

  private final Set<RequestId> requests = new LinkedHashSet<>();
  private long bytes;

  /** Creates an empty memory. */
  public ExecutedWrites() {}

  /** Records a request that a server has executed, or may have. */
  public void record(RequestId request) {
    if (requests.add(request)) {
      bytes += bytesOf(request);
      forgetBeyondLimit();
    }
  }

  private void forgetBeyondLimit() {
    Iterator<RequestId> oldest = requests.iterator();
    while (bytes > MAX_BYTES) {
      bytes -= bytesOf(oldest.next());
      oldest.remove();
    }
  }

  /** Returns whether the request may have been executed before. */
  public boolean mayContain(RequestId request) {
    return requests.contains(request);
  }

  private static int bytesOf(RequestId request) {
    return request.name().length() + OVERHEAD_BYTES;
  }
}
