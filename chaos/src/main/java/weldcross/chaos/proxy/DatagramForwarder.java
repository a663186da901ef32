package weldcross.chaos.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.SplittableRandom;

/** Forwards datagrams with the faults of their network paths; confined to the proxy thread. */
final class DatagramForwarder {

  private static final int MAX_DATAGRAM_BYTES = 1 << 16;

  /** The delay of a reordered datagram, which lets later datagrams overtake it. */
  private static final long REORDERING_DELAY_NANOS = StreamForwarder.RETRANSMISSION_DELAY.toNanos();

  private final InetAddress host;
  private final Selector selector;
  private final NetworkPaths paths;
  private final ProxyCounters counters;
  private final SplittableRandom random;
  private final DelayedTasks delayedTasks;
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);

  DatagramForwarder(
      InetAddress host,
      Selector selector,
      NetworkPaths paths,
      ProxyCounters counters,
      SplittableRandom random,
      DelayedTasks delayedTasks) {
    this.host = host;
    this.selector = selector;
    this.paths = paths;
    this.counters = counters;
    this.random = random;
    this.delayedTasks = delayedTasks;
  }

  /** Opens an address from which datagrams are forwarded to a target, and returns the address. */
  InetSocketAddress open(String from, String to, InetSocketAddress target) throws IOException {
    DatagramChannel channel = DatagramChannel.open();
    channel.bind(new InetSocketAddress(host, 0));
    channel.configureBlocking(false);
    Runnable readable = () -> receive(channel, from, to, target);
    channel.register(selector, SelectionKey.OP_READ, readable);
    return (InetSocketAddress) channel.getLocalAddress();
  }

  private void receive(DatagramChannel channel, String from, String to, InetSocketAddress target) {
    try {
      buffer.clear();
      if (channel.receive(buffer) == null) {
        return;
      }
      buffer.flip();
      ByteBuffer bytes = ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
      schedule(paths.get(from, to), channel, bytes, target);
    } catch (IOException e) {
      // A datagram that cannot be read is lost; datagrams are not reliable.
    }
  }

  private void schedule(
      NetworkPath path, DatagramChannel channel, ByteBuffer bytes, InetSocketAddress target) {
    if (!path.isOpen() || happens(path.lossRate())) {
      counters.datagramsLost.incrementAndGet();
      return;
    }
    int copies = happens(path.duplicationRate()) ? 2 : 1;
    counters.datagramsDuplicated.addAndGet(copies - 1);
    long due = System.nanoTime() + path.delay().toNanos();
    if (happens(path.reorderingRate())) {
      counters.datagramsDelayed.incrementAndGet();
      due += REORDERING_DELAY_NANOS;
    }
    for (int copy = 0; copy < copies; copy++) {
      delayedTasks.add(due, () -> send(channel, bytes.duplicate(), target));
    }
  }

  private boolean happens(double probability) {
    return probability > 0 && random.nextDouble() < probability;
  }

  private static void send(DatagramChannel channel, ByteBuffer bytes, InetSocketAddress target) {
    try {
      channel.send(bytes, target);
    } catch (IOException e) {
      // A datagram that cannot be sent is lost; datagrams are not reliable.
    }
  }
}
