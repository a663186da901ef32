package weldcross.chaos.proxy;

import java.util.concurrent.atomic.AtomicLong;

/** What the proxy has done to the traffic; written by its thread, read by any. */
final class ProxyCounters {
  final AtomicLong bytesDropped = new AtomicLong();
  final AtomicLong bytesBuffered = new AtomicLong();
  final AtomicLong datagramsLost = new AtomicLong();
  final AtomicLong datagramsRepeated = new AtomicLong();
  final AtomicLong datagramsDelayed = new AtomicLong();
}
