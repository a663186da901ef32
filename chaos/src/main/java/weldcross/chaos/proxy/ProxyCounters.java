package weldcross.chaos.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts of injected faults and buffered bytes; written by the proxy thread, read by any thread.
 */
final class ProxyCounters {
  final AtomicLong bytesDropped = new AtomicLong();
  final AtomicLong bytesBuffered = new AtomicLong();
  final AtomicLong datagramsLost = new AtomicLong();
  final AtomicLong datagramsDuplicated = new AtomicLong();
  final AtomicLong datagramsDelayed = new AtomicLong();
}
