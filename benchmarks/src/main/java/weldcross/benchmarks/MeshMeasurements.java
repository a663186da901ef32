package weldcross.benchmarks;

import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import weldcross.extension.ExtensionContext;
import weldcross.mesh.HandshakeRejection;
import weldcross.mesh.Incarnation;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerAddresses;
import weldcross.mesh.PeerConnectionActions;
import weldcross.mesh.PeerConnectionManager;
import weldcross.mesh.PeerName;
import weldcross.mesh.net.MeshExtension;

/**
 * What the link carries and costs: five gateways' links on sockets, at rest and sending all they
 * can; and 300 in memory by the pure module, at rest, counting what would cross the network.
 */
public final class MeshMeasurements {

  private static final int FIVE = 5, MANY = 300, CONTENT = 200, SECONDS = 5;

  private MeshMeasurements() {}

  public static void main(String[] args) throws Exception {
    onSockets();
    inMemory(FIVE);
    inMemory(MANY);
  }

  private static MeshConfig terms(int self, int count) {
    List<PeerName> peers = new ArrayList<>();
    for (int k = 0; k < count; k++) {
      if (k != self) {
        peers.add(new PeerName("n" + k));
      }
    }
    return new MeshConfig(
        "c",
        new PeerName("n" + self),
        peers,
        Duration.ofMillis(250),
        Duration.ofMillis(1500),
        Duration.ofSeconds(1),
        Duration.ofMillis(100),
        Duration.ofSeconds(5),
        4096,
        4 << 20);
  }

  /** A part's thread, and its clock. */
  private static final class Thread1 implements ExtensionContext {
    final LinkedBlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
    final PriorityQueue<Map.Entry<Duration, Runnable>> dues =
        new PriorityQueue<>(Map.Entry.comparingByKey());
    final long zero = System.nanoTime();
    volatile boolean ends;
    Duration now = Duration.ZERO;

    @Override
    public Duration now() {
      return now;
    }

    @Override
    public void at(Duration when, Runnable due) {
      dues.add(Map.entry(when, due));
    }

    @Override
    public void soon(Runnable next) {
      posted.add(next);
    }

    @Override
    public void post(Runnable event) {
      posted.add(event);
    }

    @Override
    public void changed() {}

    @Override
    public void setQuota(double share) {}

    void run() {
      try {
        while (!ends) {
          long wait =
              dues.isEmpty()
                  ? 100_000_000
                  : dues.peek().getKey().minusNanos(System.nanoTime() - zero).toNanos();
          Runnable next =
              posted.poll(Math.max(0, Math.min(wait, 100_000_000)), TimeUnit.NANOSECONDS);
          now = Duration.ofNanos(System.nanoTime() - zero);
          if (next != null) {
            next.run();
          }
          while (!dues.isEmpty() && dues.peek().getKey().compareTo(now) <= 0) {
            dues.poll().getValue().run();
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static void onSockets() throws Exception {
    InetAddress here = InetAddress.getLoopbackAddress();
    Map<PeerName, InetSocketAddress> places = new HashMap<>();
    for (int k = 0; k < FIVE; k++) {
      try (ServerSocket free = new ServerSocket(0, 1, here)) {
        places.put(new PeerName("n" + k), (InetSocketAddress) free.getLocalSocketAddress());
      }
    }
    Path directory = Files.createTempDirectory("link-figures");
    AtomicLong heard = new AtomicLong();
    AtomicLong ups = new AtomicLong();
    List<MeshExtension> parts = new ArrayList<>();
    List<Thread1> threads = new ArrayList<>();
    for (int k = 0; k < FIVE; k++) {
      MeshExtension part =
          new MeshExtension(
              terms(k, FIVE),
              new PeerAddresses(places.get(new PeerName("n" + k)), null, places, Map.of()),
              directory.resolve("n" + k),
              k);
      part.talk(
          1,
          new MeshExtension.Talker() {
            @Override
            public void heard(PeerName from, Incarnation life, ByteBuffer content) {
              heard.incrementAndGet();
            }

            @Override
            public void up(PeerName peer, Incarnation life) {
              ups.incrementAndGet();
            }

            @Override
            public void down(PeerName peer, String why) {}
          });
      Thread1 thread = new Thread1();
      thread.post(() -> part.start(thread));
      Thread own = new Thread(thread::run, "reducer " + k);
      own.setDaemon(true);
      own.start();
      parts.add(part);
      threads.add(thread);
    }
    while (ups.get() < FIVE * (FIVE - 1)) {
      Thread.onSpinWait();
    }
    long cpu = cpu();
    TimeUnit.SECONDS.sleep(SECONDS);
    System.out.printf(
        "5 gateways on sockets at rest: %.2f ms of processor a gateway second%n",
        (cpu() - cpu) / 1e6 / FIVE / SECONDS);
    cpu = cpu();
    long before = heard.get();
    long until = System.nanoTime() + SECONDS * 1_000_000_000L;
    while (System.nanoTime() < until) {
      for (int k = 0; k < FIVE; k++) {
        int from = k;
        if (threads.get(k).posted.size() < 200) {
          threads
              .get(k)
              .post(
                  () -> {
                    for (PeerName to : places.keySet()) {
                      parts.get(from).send(to, 1, ByteBuffer.allocate(CONTENT), true);
                    }
                  });
        }
      }
    }
    long came = heard.get() - before;
    System.out.printf(
        "5 gateways on sockets, all they can: %d messages of %d bytes a second, %.1f us of processor "
            + "each (both ends)%n",
        came / SECONDS, CONTENT, (cpu() - cpu) / 1e3 / came);
    threads.forEach(t -> t.ends = true);
    System.out.println("(" + directory + " can go)");
  }

  private static long cpu() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  /**
   * A gateway's link in memory: frames are counted with the bytes that they would have, and come at
   * once.
   */
  private static final class InMemory implements PeerConnectionActions {
    final PeerConnectionManager links;
    final int number;
    final Net net;
    Duration wakeAt;

    InMemory(int number, Net net, int count) {
      this.number = number;
      this.net = net;
      this.links = new PeerConnectionManager(terms(number, count), this, number);
    }

    private void to(long link, int bytes, Frame frame) {
      Object[] other = net.other.get(number + "/" + link);
      net.frames++;
      net.bytes += bytes + 40;
      if (other != null) {
        net.coming.add(() -> frame.at((InMemory) other[0], (Long) other[1]));
      }
    }

    private interface Frame {
      void at(InMemory there, long link);
    }

    @Override
    public void dial(long link, PeerName to) {
      InMemory there = net.nodes.get(Integer.parseInt(to.name().substring(1)));
      net.coming.add(
          () -> {
            long accepted = ++net.numbers;
            net.other.put(number + "/" + link, new Object[] {there, accepted});
            net.other.put(there.number + "/" + accepted, new Object[] {this, link});
            there.links.accepted(net.now, accepted, true);
            links.dialled(net.now, link);
          });
    }

    @Override
    public void greet(long link, PeerName to, Incarnation self) {
      to(
          link,
          40,
          (there, l) ->
              there.links.greeted(net.now, l, "c", new PeerName("n" + number), to, self, 1));
    }

    @Override
    public void welcome(long link, Incarnation self) {
      to(link, 20, (there, l) -> there.links.welcomed(net.now, l, self));
    }

    @Override
    public void refuse(long link, HandshakeRejection why, long known) {
      to(link, 20, (there, l) -> there.links.refused(net.now, l, why, known));
    }

    @Override
    public void beat(long link, long count) {
      to(link, 8, (there, l) -> there.links.beaten(net.now, l, count));
    }

    @Override
    public void echo(long link, long count) {
      to(link, 8, (there, l) -> there.links.echoed(net.now, l, count));
    }

    @Override
    public void message(long link, int subject, ByteBuffer content) {
      to(
          link,
          12 + content.remaining(),
          (there, l) -> there.links.message(net.now, l, subject, content));
    }

    @Override
    public void goodbye(long link) {}

    @Override
    public void drop(long link) {}

    @Override
    public void finish(long link) {}

    @Override
    public void datagram(PeerName to, int subject, ByteBuffer content) {}

    @Override
    public void wakeAt(Duration when) {
      wakeAt = when;
    }

    @Override
    public void heard(PeerName from, Incarnation life, int subject, ByteBuffer content) {}

    @Override
    public void up(PeerName peer, Incarnation life) {
      net.ups++;
    }

    @Override
    public void down(PeerName peer, String why) {}

    @Override
    public void refusedBy(PeerName peer, Incarnation before) {}

    @Override
    public void outlived(long incarnation) {}
  }

  private static final class Net {
    final List<InMemory> nodes = new ArrayList<>();
    final Map<String, Object[]> other = new HashMap<>();
    final ArrayDeque<Runnable> coming = new ArrayDeque<>();
    Duration now = Duration.ZERO;
    long numbers, frames, bytes, ups;

    void run(Duration span) {
      for (Duration until = now.plus(span); now.compareTo(until) < 0; now = now.plusMillis(10)) {
        for (InMemory each : nodes) {
          if (each.wakeAt != null && each.wakeAt.compareTo(now) <= 0) {
            each.wakeAt = null;
            each.links.due(now);
          }
        }
        for (Runnable next = coming.poll(); next != null; next = coming.poll()) {
          next.run();
        }
      }
    }
  }

  private static void inMemory(int count) {
    Net net = new Net();
    for (int k = 0; k < count; k++) {
      net.nodes.add(new InMemory(k, net, count));
    }
    net.nodes.forEach(n -> n.links.start(net.now, new Incarnation(1, n.number)));
    net.run(Duration.ofSeconds(2));
    long frames = net.frames;
    long bytes = net.bytes;
    long cpu = cpu();
    net.run(Duration.ofSeconds(SECONDS));
    System.out.printf(
        "%d gateways in memory at rest, %d connections up: %.0f frames and %.0f bytes (with TCP's heads) "
            + "a gateway second, %.2f ms of processor%n",
        count,
        net.ups,
        (net.frames - frames) / (double) SECONDS / count,
        (net.bytes - bytes) / (double) SECONDS / count,
        (cpu() - cpu) / 1e6 / SECONDS / count);
  }
}
