package weldcross.gateway;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldcross.connections.IdleTimeoutEstimator;
import weldcross.pgwire.MessageEncoder;
import weldcross.pgwire.ServerResponse;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.ServerId;

/**
 * The reducer's connections to servers: each carries one question at a time, then waits for the
 * next.
 */
final class ServerConnectionPool {

  /** One connection. */
  static final class Link {
    final long number;
    final ServerId server;
    final InetSocketAddress address;
    ServerRequest question;
    boolean reached, up, begun;

    /** Messages of which not every byte is known to be out. */
    int unwritten;

    /** Counts how far it has come: what was expected of an earlier step is expected no more. */
    int step, doubted = -1;

    /**
     * Since when it was welcomed, since when it rests, and how long it had rested before this
     * question.
     */
    Duration upSince, idleSince, rested;

    Link(long number, ServerId server, InetSocketAddress address) {
      this.number = number;
      this.server = server;
      this.address = address;
    }
  }

  private static final ArrayDeque<Link> NONE = new ArrayDeque<>();

  private final Gateway gateway;
  private final Transport transport;
  private final Duration connectTimeout;
  private final Duration idleFor;
  private final int most;

  /** A connection is quiet for so long before it carries the next question. */
  private final Duration settle;

  private final IdleTimeoutEstimator rests = new IdleTimeoutEstimator();
  private final Map<ServerId, InetSocketAddress> addresses = new HashMap<>();
  private final Map<ServerId, ArrayDeque<Link>> idle = new HashMap<>();
  private final Map<Long, Link> links = new HashMap<>();

  /** All that are idle, the longest idle first. */
  private final LinkedHashSet<Link> resting = new LinkedHashSet<>();

  private boolean tiring;

  /**
   * @param idleClose after which a server closes; a connection is given up here before that
   */
  ServerConnectionPool(
      Gateway gateway, Transport transport, Duration connectTimeout, Duration idleClose, int most) {
    this.gateway = gateway;
    this.transport = transport;
    this.connectTimeout = connectTimeout;
    this.idleFor = idleClose.minus(idleClose.dividedBy(8));
    this.most = most;
    this.settle = connectTimeout.dividedBy(64);
  }

  /** A server that moved keeps its name; what is open to its old address is used no more. */
  void setAddress(ServerId server, InetSocketAddress address) {
    InetSocketAddress before = addresses.put(server, address);
    if (before != null && !before.equals(address)) {
      List.copyOf(idle.getOrDefault(server, NONE)).forEach(this::remove);
    }
  }

  void removeServer(ServerId server) {
    addresses.remove(server);
    ArrayDeque<Link> unused = idle.remove(server);
    if (unused != null) {
      List.copyOf(unused).forEach(this::remove);
    }
  }

  void send(ServerId server, ServerRequest question) {
    ArrayDeque<Link> unused = idle.getOrDefault(server, NONE);
    Link link = unused.peekFirst();
    if (link != null && gateway.now().minus(link.idleSince).compareTo(settle) < 0) {
      // What comes behind an answer comes right behind it: the one that has been quiet longest is
      // safe.
      link = unused.peekLast();
    }
    Duration rested = link == null ? null : gateway.now().minus(link.idleSince);
    if (link != null && rested.compareTo(settle) >= 0) {
      if (!question.maySend()) {
        gateway.soon(() -> end(question, AttemptOutcome.NOT_SENT, null));
        return;
      }
      // What may be asked again tries whatever there is, so that it is learnt when all is well
      // again.
      if (question.isAnsweredPromptly() || rests.mayReuse(rested)) {
        rouse(link);
        link.rested = rested;
        carry(link, question);
        write(link, question.message());
        return;
      }
      remove(unused.peekLast());
    }
    if (links.size() >= most && !resting.isEmpty()) {
      remove(resting.iterator().next());
    }
    InetSocketAddress address = addresses.get(server);
    if (links.size() >= most || address == null) {
      gateway.warn("no descriptor left for a connection to " + server.name());
      gateway.soon(() -> end(question, AttemptOutcome.UNREACHABLE, null));
      return;
    }
    Link dialled = new Link(gateway.nextNumber(), server, address);
    links.put(dialled.number, dialled);
    carry(dialled, question);
    transport.connectToServer(dialled.number, address);
    expect(dialled);
  }

  /**
   * The other side has the time of a dial for its next word. Whoever is silent for so long is given
   * up, but not before all is read that it may have said meanwhile: a gateway short of processor
   * time would take its own slowness for that of all servers.
   */
  private void expect(Link link) {
    int step = ++link.step;
    gateway.at(
        gateway.now().plus(connectTimeout),
        () -> {
          if (link.step == step) {
            link.doubted = step;
            transport.afterPendingReads(link.number);
          }
        });
    gateway.at(gateway.now().plus(connectTimeout.multipliedBy(2)), () -> silent(link, step));
  }

  /** All that came in until {@link Transport#afterPendingReads} was asked for has been read. */
  void pendingReadsDone(long number) {
    Link link = links.get(number);
    if (link != null) {
      silent(link, link.doubted);
    }
  }

  private void silent(Link link, int step) {
    if (link.step != step || !links.containsKey(link.number)) {
      return;
    }
    if (!link.up) {
      transport.closeNow(link.number);
      link.reached = false;
      closed(link.number, null);
    } else if (link.begun) {
      protocolError(link.number, "an answer that does not end");
    } else if (link.question != null) {
      abort(link.question, AttemptOutcome.TIMED_OUT);
    }
  }

  /** Stops waiting: the connection ends with it, so that nothing of it comes back. */
  void abort(ServerRequest question, AttemptOutcome outcome) {
    if (question.link != null) {
      remove(question.link);
    }
    gateway.soon(() -> end(question, outcome, null));
  }

  void connected(long number) {
    Link link = links.get(number);
    if (link != null) {
      link.step++;
      link.reached = true;
      write(link, MessageEncoder.startup());
    } else {
      // Given up as it came up: nobody would ever end it.
      transport.closeNow(number);
    }
  }

  /** The server welcomed this gateway; what is sent before that it may not read. */
  void sessionReady(long number) {
    Link link = links.get(number);
    if (link != null) {
      link.step++;
      link.up = true;
      link.upSince = gateway.now();
      ServerRequest question = link.question;
      if (question.maySend()) {
        write(link, question.message());
        return;
      }
      link.question = null;
      question.link = null;
      rest(link);
      end(question, AttemptOutcome.NOT_SENT, null);
    }
  }

  void written(long number) {
    Link link = links.get(number);
    if (link != null && --link.unwritten == 0) {
      allOut(link);
    }
  }

  private void allOut(Link link) {
    if (!link.up || (link.question != null && link.question.isAnsweredPromptly())) {
      expect(link);
    }
  }

  /**
   * @param more whether bytes came behind it: the answer counts, its connection is of no further
   *     use
   */
  void responseReceived(long number, ServerResponse answer, boolean more) {
    Link link = links.get(number);
    if (link == null || link.question == null) {
      return;
    }
    ServerRequest question = link.question;
    link.step++;
    link.begun = false;
    if (answer.sqlState() == null && !answer.isComplete(question.commandTag())) {
      protocolError(number, "a row that is completed as no such statement is");
      return;
    }
    rests.recordAnswered(link.rested);
    link.question = null;
    question.link = null;
    question.connectedSince = link.upSince;
    if (more) {
      gateway.warn("bytes behind an answer of " + link.server.name());
      remove(link);
    } else {
      rest(link);
    }
    end(question, outcome(answer), answer);
  }

  /** An answer that does not go on is none; its connection would be waited for in vain. */
  void responseStarted(long number) {
    Link link = links.get(number);
    if (link != null && link.question != null) {
      link.begun = true;
      expect(link);
    }
  }

  /** Nothing of what was read counts, and nothing more of it is read. */
  void protocolError(long number, String why) {
    Link link = links.get(number);
    if (link == null) {
      return;
    }
    gateway.warn("spoilt by " + link.server.name() + ": " + why);
    ServerRequest question = link.question;
    boolean asked = link.up;
    remove(link);
    if (question != null) {
      end(question, asked ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.UNREACHABLE, null);
    }
  }

  void closed(long number, ServerResponse rest) {
    Link link = links.remove(number);
    if (link == null) {
      return;
    }
    rouse(link);
    if (!link.up) {
      gateway.warn("no connection to " + link.server.name() + " at " + link.address);
    }
    ServerRequest question = link.question;
    if (question == null) {
      return;
    }
    question.link = null;
    AttemptOutcome told =
        rest != null && (rest.isComplete(question.commandTag()) || rest.sqlState() != null)
            ? outcome(rest)
            : null;
    if (told != null && (link.up || told == AttemptOutcome.OVERLOADED)) {
      end(question, told, rest);
    } else {
      end(question, lost(link), null);
    }
  }

  /** What it means that a connection ended under its question. */
  private AttemptOutcome lost(Link link) {
    boolean kept = link.rested != null && !link.begun;
    if (link.up && !link.begun) {
      rests.recordLost(link.rested);
    }
    if (link.up && link.unwritten == 0) {
      return kept ? AttemptOutcome.IDLE_CONNECTION_LOST : AttemptOutcome.CONNECTION_LOST;
    }
    // Taken up and ended before its welcome, or while it rested: whoever did so may well live.
    return kept || (link.reached && !link.up)
        ? AttemptOutcome.CLOSED_BEFORE_SEND
        : AttemptOutcome.UNREACHABLE;
  }

  /**
   * A dial was taken up by somebody and ended at once, which a place without a process cannot do.
   */
  void connectionReset(long number) {
    Link link = links.get(number);
    if (link != null) {
      link.reached = true;
      closed(number, null);
    }
  }

  private static AttemptOutcome outcome(ServerResponse answer) {
    if (answer.sqlState() == null) {
      return AttemptOutcome.OK;
    }
    return switch (answer.sqlState()) {
      case "25006", "72000" -> AttemptOutcome.INELIGIBLE;
      case "53300" -> AttemptOutcome.OVERLOADED;
      default -> AttemptOutcome.ERROR;
    };
  }

  private void end(ServerRequest question, AttemptOutcome outcome, ServerResponse answer) {
    if (!question.done) {
      question.done = true;
      question.completed(outcome, answer);
    }
  }

  private void carry(Link link, ServerRequest question) {
    link.question = question;
    question.link = link;
  }

  /**
   * What is out is known to be out before anything else can be told of its connection: an end that
   * is told first would make of a write that ran one that never went out, and send it twice.
   */
  private void write(Link link, ByteBuffer... parts) {
    if (transport.write(link.number, parts)) {
      allOut(link);
    } else {
      link.unwritten++;
    }
  }

  /** For the log: connections by server, and how many of them carry a question. */
  String describe() {
    Map<String, int[]> counts = new TreeMap<>();
    for (Link link : links.values()) {
      int[] count = counts.computeIfAbsent(link.server.name(), s -> new int[2]);
      count[0]++;
      count[1] += link.question == null ? 0 : 1;
    }
    StringBuilder words = new StringBuilder("connections");
    counts.forEach(
        (server, c) ->
            words.append(' ').append(server).append(' ').append(c[1]).append('/').append(c[0]));
    return words.toString();
  }

  private void rest(Link link) {
    if (!link.address.equals(addresses.get(link.server))) {
      remove(link);
      return;
    }
    link.idleSince = gateway.now();
    idle.computeIfAbsent(link.server, s -> new ArrayDeque<>()).addFirst(link);
    resting.add(link);
    tireLater();
  }

  /**
   * One due time for all that rest, as connections come and go by far more often than they tire.
   */
  private void tireLater() {
    if (!tiring && !resting.isEmpty()) {
      tiring = true;
      gateway.at(
          resting.iterator().next().idleSince.plus(idleFor),
          () -> {
            tiring = false;
            while (!resting.isEmpty()
                && gateway.now().compareTo(resting.iterator().next().idleSince.plus(idleFor))
                    >= 0) {
              remove(resting.iterator().next());
            }
            tireLater();
          });
    }
  }

  /** From its rest, if it is at rest: to work, or to its end. */
  private void rouse(Link link) {
    if (resting.remove(link)) {
      idle.computeIfPresent(
          link.server, (s, all) -> all.remove(link) && all.isEmpty() ? null : all);
    }
  }

  private void remove(Link link) {
    links.remove(link.number);
    rouse(link);
    if (link.question != null) {
      link.question.link = null;
      link.question = null;
    }
    transport.closeNow(link.number);
  }
}
