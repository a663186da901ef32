package weldcross.chaos.load;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/**
 * Clients: so many RPCs a second whatever becomes of those before, by sessions that ask one thing
 * at a time. A session keeps to one gateway until a connection to it fails, and then goes to
 * another. Each answer is written down, with whatever came that nobody had asked for.
 */
public final class LoadGenerator implements AutoCloseable {

  /** Beyond an RPC's time an answer is still waited for, as the platform has it. */
  public static final Duration SLACK = Duration.ofMillis(50);

  private static final int CONNECT_MILLIS = 500;
  private static final Duration SOON = Duration.ofMillis(100);
  private static final int MOST_AT_ONCE = 2000;
  private static final int MOST_ASKS = 12;
  private static final byte[] STARTUP = startup();

  /** One connection to a gateway. */
  private static final class Line implements AutoCloseable {
    final Socket socket = new Socket();
    final DataInputStream in;
    boolean greeted;

    Line(InetSocketAddress at) throws IOException {
      try {
        socket.setTcpNoDelay(true);
        socket.connect(at, CONNECT_MILLIS);
        in = new DataInputStream(socket.getInputStream());
        socket.getOutputStream().write(STARTUP);
      } catch (IOException e) {
        socket.close();
        throw e;
      }
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // It is given up.
      }
    }
  }

  private static final class Session {
    final String key;
    final int group;
    int gateway;
    String lastWrite = "";

    /**
     * It ends after so many, and a new one comes to any gateway, also to one that others have left.
     */
    int left;

    Session(String key, int group, int gateway, int left) {
      this.key = key;
      this.group = group;
      this.gateway = gateway;
      this.left = left;
    }
  }

  private final List<InetSocketAddress> gateways;
  private final int groups;
  private final LongSupplier clock;
  private final SplittableRandom random;
  private final String mark;
  private final Map<Integer, ArrayDeque<Line>> idle = new HashMap<>();
  private final ArrayDeque<Session> atRest = new ArrayDeque<>();
  private final List<String> keys = new ArrayList<>();
  private final List<ClientOperation> asked = new ArrayList<>();

  /** What came on a connection beyond the answers asked for. */
  private final List<String> unasked = new ArrayList<>();

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(null, task, "client", 192 << 10);
            thread.setDaemon(true);
            return thread;
          });
  private final AtomicBoolean ending = new AtomicBoolean();
  private Thread pace;
  private long numbers;
  private int out;

  /**
   * @param gateways where clients reach each, in the order of their numbers
   * @param clock time since the load began, in nanoseconds
   */
  public LoadGenerator(
      List<InetSocketAddress> gateways, int groups, LongSupplier clock, long seed) {
    this.gateways = gateways;
    this.groups = groups;
    this.clock = clock;
    this.random = new SplittableRandom(seed);
    this.mark = String.format("%08x", (int) seed);
  }

  /** Asks at this rate until it is ended. */
  public void begin(int rate) {
    synchronized (this) {
      for (int k = 0; k < rate; k++) {
        atRest.add(come());
      }
    }
    long apart = 1_000_000_000L / rate;
    pace =
        new Thread(
            () -> {
              long next = clock.getAsLong();
              while (!ending.get()) {
                long wait = next - clock.getAsLong();
                if (wait > 0) {
                  LockSupport.parkNanos(wait);
                } else {
                  askOne();
                  next += apart;
                }
              }
            },
            "pace");
    pace.setDaemon(true);
    pace.start();
  }

  /** Asks no more, and returns once all that is out has an end. */
  public void end() throws InterruptedException {
    ending.set(true);
    if (pace != null) {
      pace.join();
    }
    threads.shutdown();
    threads.awaitTermination(10, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws InterruptedException {
    end();
    synchronized (this) {
      idle.values().forEach(all -> all.forEach(Line::close));
    }
  }

  public synchronized List<ClientOperation> asked() {
    return List.copyOf(asked);
  }

  public synchronized List<String> unasked() {
    return List.copyOf(unasked);
  }

  public synchronized int count() {
    return asked.size();
  }

  private void askOne() {
    Session session;
    Method method;
    String rpc;
    String key;
    synchronized (this) {
      if (out >= MOST_AT_ONCE) {
        return;
      }
      out++;
      session = atRest.poll();
      session = session == null ? come() : session;
      method = draw();
      rpc = nextId();
      // A session looks up its own; browsing goes over what all wrote.
      key = method == Method.BROWSE ? keys.get(random.nextInt(keys.size())) : session.key;
    }
    Session of = session;
    threads.execute(
        () -> {
          try {
            Duration again = ask(of, method, rpc, key);
            if (again != null && !ending.get()) {
              // It comes once more, as another RPC, when it was told to, or soon.
              LockSupport.parkNanos(again.toNanos());
              ask(of, method, nextId(), key);
            }
          } finally {
            synchronized (this) {
              out--;
              if (--of.left > 0) {
                atRest.add(of);
              } else {
                atRest.add(come());
              }
            }
          }
        });
  }

  private synchronized String nextId() {
    return String.format("%s%08x", mark, ++numbers);
  }

  private Session come() {
    Session session =
        new Session(
            String.format("%s%08x", mark, ++numbers),
            random.nextInt(groups),
            random.nextInt(gateways.size()),
            random.nextInt(MOST_ASKS) + 1);
    keys.add(session.key);
    return session;
  }

  private Method draw() {
    int at = random.nextInt(100);
    for (Method each : Method.values()) {
      at -= each.share;
      if (at < 0) {
        return each;
      }
    }
    return Method.LOOKUP;
  }

  /** Null, or after what time to come again: it was refused, or met nobody. */
  private Duration ask(Session session, Method method, String rpc, String key) {
    int gateway = session.gateway;
    String after = session.lastWrite;
    ClientOperation.ClientOutcome outcome;
    String value = "";
    String detail = "";
    Duration again = null;
    long sent = clock.getAsLong();
    Line line = null;
    try {
      line = take(gateway);
      String text = text(method, rpc, key, session.group);
      send(line, text);
      sent = clock.getAsLong();
      long until = sent + method.deadline.plus(SLACK).toNanos();
      String[] answer = answer(line, until);
      outcome =
          answer[0].equals("ok")
              ? ClientOperation.ClientOutcome.OK
              : answer[0].equals("53300") || answer[0].equals("57P03")
                  ? ClientOperation.ClientOutcome.PUSHED_BACK
                  : ClientOperation.ClientOutcome.ABORTED;
      value = outcome == ClientOperation.ClientOutcome.OK ? answer[1] : "";
      detail = outcome == ClientOperation.ClientOutcome.OK ? "" : answer[0];
      again =
          outcome == ClientOperation.ClientOutcome.PUSHED_BACK
              ? answer[3].isEmpty() ? SOON : Duration.ofMillis(Long.parseLong(answer[3]))
              : null;
      if (answer[2].isEmpty()) {
        line.close();
      } else {
        rest(gateway, line);
      }
    } catch (SocketTimeoutException e) {
      outcome =
          line == null
              ? ClientOperation.ClientOutcome.NOT_TAKEN
              : ClientOperation.ClientOutcome.SILENT;
      detail = line == null ? "no connection came up" : "";
    } catch (ConnectException e) {
      outcome = ClientOperation.ClientOutcome.NOT_TAKEN;
      detail = String.valueOf(e.getMessage());
    } catch (IOException e) {
      // One that never said its first word was taken up by nobody: the relay answers dials in a
      // gateway's place.
      outcome =
          line == null || !line.greeted
              ? ClientOperation.ClientOutcome.NOT_TAKEN
              : ClientOperation.ClientOutcome.ENDED;
      detail = e instanceof EOFException ? "ended" : String.valueOf(e.getMessage());
    }
    long ended = clock.getAsLong();
    boolean failed =
        outcome == ClientOperation.ClientOutcome.NOT_TAKEN
            || outcome == ClientOperation.ClientOutcome.ENDED
            || outcome == ClientOperation.ClientOutcome.SILENT;
    if (failed && line != null) {
      line.close();
    }
    if (method.write && outcome == ClientOperation.ClientOutcome.OK) {
      session.lastWrite = rpc;
    }
    synchronized (this) {
      if (failed) {
        // The front sends it elsewhere, to any of the others.
        session.gateway =
            gateways.size() == 1
                ? 0
                : (gateway + 1 + random.nextInt(gateways.size() - 1)) % gateways.size();
      }
      asked.add(
          new ClientOperation(
              rpc,
              session.key,
              method,
              session.group,
              "n" + gateway,
              sent,
              ended,
              outcome,
              value,
              detail,
              after));
    }
    return outcome == ClientOperation.ClientOutcome.NOT_TAKEN ? SOON : again;
  }

  private static String text(Method method, String rpc, String key, int group) {
    String comment =
        " /* id="
            + rpc
            + ",c="
            + method.word
            + ",d="
            + method.deadline.toMillis()
            + ",cluster="
            + group
            + " */";
    return method.write
        ? "INSERT INTO kv (name, content) VALUES ('"
            + key
            + "', '\\x"
            + rpc
            + "') RETURNING content"
            + comment
        : "SELECT content FROM kv WHERE name = '" + key + "'" + comment;
  }

  private Line take(int gateway) throws IOException {
    Line line;
    synchronized (this) {
      ArrayDeque<Line> lines = idle.get(gateway);
      line = lines == null ? null : lines.pollLast();
    }
    // One that was ended while it rested is replaced; whatever else came on it nobody had asked
    // for.
    while (line != null && !isQuiet(line)) {
      line.close();
      synchronized (this) {
        line = idle.get(gateway).pollLast();
      }
    }
    return line != null ? line : new Line(gateways.get(gateway));
  }

  private boolean isQuiet(Line line) throws IOException {
    try {
      line.socket.setSoTimeout(1);
      int first = line.in.read();
      if (first >= 0) {
        byte[] rest = new byte[Math.min(400, line.in.available())];
        line.in.readFully(rest);
        String words = (char) first + new String(rest, StandardCharsets.ISO_8859_1);
        // A word that tells why the connection ends is owed to nobody.
        if (!(first == 'E' && words.contains("FATAL"))) {
          synchronized (this) {
            unasked.add(words);
          }
        }
      }
      return false;
    } catch (SocketTimeoutException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private synchronized void rest(int gateway, Line line) {
    idle.computeIfAbsent(gateway, g -> new ArrayDeque<>()).add(line);
  }

  private static void send(Line line, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    line.socket
        .getOutputStream()
        .write(
            ByteBuffer.allocate(6 + bytes.length)
                .put((byte) 'Q')
                .putInt(bytes.length + 5)
                .put(bytes)
                .put((byte) 0)
                .array());
  }

  /**
   * Code or {@code ok}, the value, whether the connection is ready for more, and when to come
   * again.
   */
  private String[] answer(Line line, long until) throws IOException {
    String[] answer = {"", "", "", ""};
    while (true) {
      long left = (until - clock.getAsLong()) / 1_000_000;
      if (left <= 0) {
        throw new SocketTimeoutException();
      }
      line.socket.setSoTimeout((int) left);
      int type = line.in.readUnsignedByte();
      byte[] body = new byte[line.in.readInt() - 4];
      line.in.readFully(body);
      String text = new String(body, StandardCharsets.ISO_8859_1);
      if (type == 'Z' && !line.greeted) {
        line.greeted = true;
      } else if (type == 'Z') {
        answer[2] = "ready";
        return answer;
      } else if (type == 'E') {
        answer[0] = text.replaceAll("(?s)^.*?C([0-9A-Z]{5})\0.*$", "$1");
        answer[3] =
            text.matches("(?s).*\0D[0-9]+\0.*")
                ? text.replaceAll("(?s)^.*\0D([0-9]+)\0.*$", "$1")
                : "";
        if (text.contains("FATAL")) {
          return answer;
        }
      } else if (type == 'D') {
        answer[0] = "ok";
        answer[1] = text.substring(6);
      }
    }
  }

  private static byte[] startup() {
    byte[] words = "user\0backend\0database\0store\0\0".getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(8 + words.length)
        .putInt(8 + words.length)
        .putInt(3 << 16)
        .put(words)
        .array();
  }
}
