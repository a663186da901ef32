package weldcross.gateway;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import weldcross.config.GatewayConfig;
import weldcross.config.LoadReport;
import weldcross.connections.ClientEvictionPolicy;
import weldcross.discovery.DiscoveredEndpoint;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.gossip.GossipMessage;
import weldcross.pgwire.MessageEncoder;
import weldcross.pgwire.ServerResponse;
import weldcross.pgwire.Statement;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.EndpointStatus;
import weldcross.routing.GroupId;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestId;
import weldcross.routing.Router;
import weldcross.routing.RouterActions;
import weldcross.routing.ServerId;
import weldcross.routing.SessionId;
import weldcross.routing.ZoneId;

/**
 * The one owner of a gateway's state. Every change of it is an event that goes through {@link
 * #reduce}, on one thread; the events call the router, which acts through this as its {@link
 * RouterActions}, and all that reaches the world is asked of {@link Transport}. What the router
 * decides is carried out as it says; nothing is decided here.
 */
public final class Gateway implements RouterActions {

  /** From start to exit. */
  public enum Phase {
    STARTING,
    LISTENING,
    SERVING,
    DRAINING,
    STOPPED
  }

  /** Something that happened, told to the one thread. */
  @FunctionalInterface
  interface Event extends Consumer<Gateway> {}

  /**
   * New connections still come for this long after a stop was asked for, as clients learn of it
   * late.
   */
  private static final Duration STILL_COMING = Duration.ofMillis(450);

  /**
   * Statements of one connection that are worked at a time; with more waiting no more of it is
   * read.
   */
  private static final int SIDE_BY_SIDE = 16;

  /** Of those that one read may bring beyond these, more are not begun at all. */
  private static final int MOST_WAITING = 64;

  /** A commit that is told in whole milliseconds may lie up to one later, and reads must see it. */
  private static final Duration ONE_MILLI = Duration.ofMillis(1);

  /** The least time since a write: none at all would say that there was none. */
  private static final Duration JUST_NOW = Duration.ofNanos(1);

  private static final ByteBuffer CANCELLED =
      MessageEncoder.error("57014", "cancelled by its client", null);
  private static final ByteBuffer FAILED =
      MessageEncoder.error("58000", "failed, and may have run", null);
  private static final Duration STATE_APART = Duration.ofSeconds(1);
  private static final BigDecimal MOST_NANOS = BigDecimal.valueOf(Long.MAX_VALUE);

  private static final Logger LOG = Logger.getLogger(Gateway.class.getName());

  /** A client's connection: what it asks is worked side by side and answered in its order. */
  private static final class Client {
    final long number;

    /** Who names it may cancel what this client waits for. */
    final int secret;

    /** What it asked that is not begun, and what is begun and has not gone out. */
    final ArrayDeque<Consumer<PipelinedRequest>> waiting = new ArrayDeque<>(2);

    final ArrayDeque<PipelinedRequest> turns = new ArrayDeque<>(2);
    boolean writing, ending, parting, unread;
    int asks;

    /** Counts what it has said: a message begun earlier is waited for no more. */
    int words;

    Duration idleSince;

    Client(long number, int secret, Duration now) {
      this.number = number;
      this.secret = secret;
      this.idleSince = now;
    }

    boolean isIdle() {
      return turns.isEmpty() && !writing && waiting.isEmpty();
    }
  }

  /** One thing that a client asked, until its answer goes out. */
  private static final class PipelinedRequest {
    final Client client;
    Rpc rpc;
    ByteBuffer[] answer;

    PipelinedRequest(Client client) {
      this.client = client;
    }
  }

  /** An RPC that is not answered, or whose call-outs are still out. */
  private static final class Rpc {
    final RequestId id;
    final PipelinedRequest turn;
    final Statement statement;
    final Duration deadline;
    final List<Attempt> attempts = new ArrayList<>(1);
    int out;
    boolean answered;

    Rpc(RequestId id, PipelinedRequest turn, Statement statement, Duration deadline) {
      this.id = id;
      this.turn = turn;
      turn.rpc = this;
      this.statement = statement;
      this.deadline = deadline;
    }
  }

  private final class Attempt extends ServerRequest {
    final Rpc rpc;
    final int number;
    final ServerId server;
    final Duration sent = now;
    final Duration until;

    Attempt(Rpc rpc, ServerId server, Duration until) {
      this.rpc = rpc;
      this.number = rpc.attempts.size();
      this.server = server;
      this.until = until;
      rpc.attempts.add(this);
      rpc.out++;
    }

    @Override
    ByteBuffer[] message() {
      return rpc.statement.withWait(Math.max(1, until.minus(transport.now()).toMillis()));
    }

    /** By the clock: a turn may have lasted, and a bound counts from the send. */
    @Override
    boolean mayGo() {
      return router.isStillEligible(transport.now(), rpc.id, number);
    }

    @Override
    boolean isBrief() {
      return false;
    }

    @Override
    String tag() {
      return rpc.statement.tag();
    }

    @Override
    void ended(AttemptOutcome outcome, ServerResponse answer) {
      rpc.out--;
      LOG.fine(
          () ->
              "rpc "
                  + rpc.id.name()
                  + ": call-out "
                  + number
                  + " ended "
                  + outcome
                  + " after "
                  + now.minus(sent).toMillis()
                  + " ms"
                  + (rpc.answered ? ", answered before" : ""));
      if (outcome == AttemptOutcome.OK && !rpc.answered) {
        served++;
        answer(rpc, answer.forClient());
      }
      Duration position =
          answer == null || answer.positionMillis() == 0
              ? null
              : position(
                  Duration.ofMillis(answer.positionMillis())
                      .plus(rpc.statement.isWrite() ? ONE_MILLI : Duration.ZERO));
      Boolean primary = answer == null ? null : answer.primary();
      noteRole(server, primary);
      router.attemptEnded(
          now,
          rpc.id,
          number,
          server,
          outcome,
          now.minus(sent),
          aliveSince,
          primary,
          position,
          rpc.answered);
      report(server, answer == null ? null : answer.stats());
      forget(rpc);
    }
  }

  private final class Probe extends ServerRequest {
    final ServerId server;

    Probe(ServerId server) {
      this.server = server;
    }

    @Override
    ByteBuffer[] message() {
      return new ByteBuffer[] {
        MessageEncoder.query(terms.reportsByProbe() ? "SHOW stats" : "SELECT 1")
      };
    }

    @Override
    boolean mayGo() {
      return true;
    }

    @Override
    boolean isBrief() {
      return true;
    }

    @Override
    String tag() {
      return null;
    }

    @Override
    void ended(AttemptOutcome outcome, ServerResponse answer) {
      router.healthCheckEnded(now, server, outcome, aliveSince);
      if (outcome == AttemptOutcome.OK) {
        report(server, terms.reportsByProbe() ? answer.rowText() : answer.stats());
      }
    }
  }

  private final GatewayConfig terms;
  private final Transport transport;
  private final Duration unixAtStart;
  private final ServerConnectionPool links;
  private final DiscoveryWatcher list;

  /** In the order of their start. */
  private final List<GatewayExtension> parts = new ArrayList<>();

  private final TimerQueue dues = new TimerQueue();
  private final ArrayDeque<Runnable> soon = new ArrayDeque<>();
  private final SplittableRandom secrets;
  private final Map<Long, Client> clients = new LinkedHashMap<>();
  private final Map<RequestId, Rpc> rpcs = new LinkedHashMap<>();
  private final Map<ServerId, GroupId> groups = new LinkedHashMap<>();

  /** All that were ever listed: a group whose members are all gone for a moment is not unknown. */
  private final Set<GroupId> groupNumbers = new HashSet<>();

  private final Map<GroupId, ServerId> primaries = new LinkedHashMap<>();
  private final RateLimitedLogger complaints = new RateLimitedLogger(LOG);
  private final RateLimitedLogger claims = new RateLimitedLogger(LOG);
  private final int mostClients;

  /** A client that is silent for so long, with nothing open here, may lose its connection. */
  private final Duration silence;

  private Router router;
  private Phase phase = Phase.STARTING;
  private boolean warm;
  private Duration now = Duration.ZERO;
  private Duration stoppingAt, answeredAt;
  private long lastNumber;

  /** Clients that are about to lose their connection if they say nothing. */
  private int parting;

  /** Those whose connections have ended from here and who may still read what they were told. */
  private final Set<Long> leaving = new HashSet<>();

  private long taken, served, rejected, failed, left;

  /**
   * @param unixAtStart what the wall clock showed, as time since 1970, when the time given to
   *     events was zero
   */
  Gateway(GatewayConfig terms, Transport transport, Duration unixAtStart) {
    this.terms = terms;
    this.transport = transport;
    this.unixAtStart = unixAtStart;
    this.secrets = new SplittableRandom(terms.seed()).split();
    // Three eighths each for clients and servers, an eighth is the process's own; what the other
    // does not use
    // takes up crowds until room is made for them.
    this.mostClients = terms.sockets() * 3 / 8;
    this.silence = terms.connectTimeout().multipliedBy(8);
    this.links =
        new ServerConnectionPool(
            this, transport, terms.connectTimeout(), terms.idleClose(), terms.sockets() * 3 / 8);
    this.list = new DiscoveryWatcher(this, transport, terms);
  }

  // ---- The one way in

  /** Makes one change: all that comes of it at this moment is done when it returns. */
  void reduce(Duration at, Event event) {
    advance(at);
    event.accept(this);
    settle();
  }

  /** Makes all changes that are due by now. */
  void reduceDue(Duration at) {
    for (boolean more = true; more; ) {
      more = reduceNextDue(at, at);
    }
  }

  /**
   * Makes the changes of the earliest due time, if that is not after {@code until}; false where it
   * is. Of many that are due each is made at its own time: decided by that of the first, the last
   * would go by a time long past.
   */
  boolean reduceNextDue(Duration until, Duration at) {
    List<Runnable> due = dues.poll(until);
    if (due == null) {
      return false;
    }
    advance(at);
    for (Runnable each : due) {
      each.run();
      settle();
    }
    return true;
  }

  /** Null where nothing is due. */
  Duration nextDue() {
    return dues.next();
  }

  private void advance(Duration at) {
    now = at.compareTo(now) > 0 ? at : now;
  }

  private void settle() {
    for (Runnable next = soon.poll(); next != null; next = soon.poll()) {
      next.run();
    }
  }

  Duration now() {
    return now;
  }

  void at(Duration when, Runnable due) {
    dues.at(when, due);
  }

  /** Done in this same moment, but not inside the call that is being made. */
  void soon(Runnable next) {
    soon.add(next);
  }

  /** Numbers of connections dialled here are below zero, of those accepted above. */
  long nextNumber() {
    return --lastNumber;
  }

  // ---- Parts

  /** Called before the start, in the order in which they are to start. */
  void join(GatewayExtension part) {
    parts.add(part);
  }

  /** What a part may ask of this gateway; its events come by the same queue as all others. */
  ExtensionContext seam(Consumer<Event> post) {
    return new ExtensionContext() {
      @Override
      public Duration now() {
        return now;
      }

      @Override
      public void at(Duration when, Runnable due) {
        Gateway.this.at(when, due);
      }

      @Override
      public void soon(Runnable next) {
        Gateway.this.soon(next);
      }

      @Override
      public void post(Runnable event) {
        post.accept(g -> event.run());
      }

      @Override
      public void changed() {
        serveIfReady();
        stopIfDone();
      }

      @Override
      public void setQuota(double share) {
        router.setQuota(share);
      }
    };
  }

  // ---- Phases

  Phase phase() {
    return phase;
  }

  private void enter(Phase next) {
    LOG.info(() -> phase + " to " + next + " after " + now.toMillis() + " ms");
    phase = next;
  }

  /**
   * @param seam what parts may ask; not looked at where there are none
   */
  void start(ExtensionContext seam) {
    parts.forEach(part -> part.start(seam));
    start();
  }

  void start() {
    LOG.info(() -> terms.describe().split("\n")[0]);
    router = new Router(this, terms.service(), terms.seed());
    enter(Phase.LISTENING);
    transport.listen(terms.listen());
    transport.greetItself();
    if (terms.peerListen() != null) {
      transport.joinPeers(terms.peerListen());
    }
    list.start();
    if (LOG.isLoggable(Level.FINE)) {
      state(now);
    }
  }

  /** What this gateway holds true, once a second, to be compared with what crosses the sockets. */
  private void state(Duration due) {
    LOG.fine(() -> now.minus(due).toMillis() + " ms behind; " + describe());
    Duration next = now.plus(STATE_APART);
    at(next, () -> state(next));
  }

  void stop() {
    if (phase == Phase.DRAINING || phase == Phase.STOPPED) {
      return;
    }
    enter(Phase.DRAINING);
    stoppingAt = now;
    parts.forEach(GatewayExtension::drain);
    at(
        now.plus(STILL_COMING),
        () -> {
          transport.stopListening();
          List.copyOf(clients.values()).forEach(this::closeIfDone);
          stopIfDone();
        });
  }

  /**
   * What is told anew while it runs: discovery's address holds at once, other keys from the next
   * start on.
   */
  void reload(GatewayConfig next) {
    List<String> later = terms.keysThatDiffer(next);
    LOG.info(
        () ->
            "configuration read again"
                + (later.isEmpty()
                    ? ""
                    : "; changed, but not before a " + "restart: " + String.join(", ", later)));
    list.moveTo(next.discovery());
    parts.forEach(GatewayExtension::reloaded);
  }

  /** The terms in force stay. */
  void reloadFailed(String why) {
    LOG.warning(() -> "configuration not taken: " + why + "; the terms in force stay");
  }

  private boolean isClosing() {
    return isClosing(now);
  }

  private boolean isClosing(Duration at) {
    return phase == Phase.DRAINING && at.minus(stoppingAt).compareTo(STILL_COMING) >= 0;
  }

  private void closeIfDone(Client client) {
    if (client.isIdle()) {
      part(client);
    }
  }

  // ---- Ends of clients' connections; docs/architecture.md has the table

  /**
   * Nothing is owed to it. What it says at this same moment may have been read already: only when
   * all that came in is read and told does its connection end, at once, or go on.
   */
  private void part(Client client) {
    if (!client.parting) {
      client.parting = true;
      parting++;
      transport.part(client.number, client.words);
    }
  }

  /**
   * @param quiet whether it had said nothing more, and has no connection any longer
   */
  void parted(long number, boolean quiet) {
    Client client = clients.get(number);
    if (client == null) {
      return;
    }
    client.parting = false;
    parting--;
    if (quiet) {
      remove(client);
      leave(client);
      linger(client);
    } else {
      awaitFirst(client);
      if (isClosing()) {
        closeIfDone(client);
      }
    }
  }

  /** It was told why: nothing more of it counts, and it has a moment to read that. */
  private void farewell(Client client) {
    remove(client);
    transport.finish(client.number);
    linger(client);
  }

  /**
   * Nothing more is sent; until it ends its side, or its time is over, its connection is not reset.
   */
  private void linger(Client client) {
    leaving.add(client.number);
    at(
        now.plus(terms.connectTimeout()),
        () -> {
          transport.drop(client.number);
          leaving.remove(client.number);
          stopIfDone();
        });
  }

  private void remove(Client client) {
    clients.remove(client.number);
    parting -= client.parting ? 1 : 0;
    client.parting = false;
    client.ending = true;
    client.waiting.clear();
  }

  /** A client that does not take its last answer is waited for once more as long, and no longer. */
  private void stopIfDone() {
    if (phase == Phase.STOPPED || !isClosing()) {
      return;
    }
    if (!rpcs.values().stream().allMatch(r -> r.answered)) {
      return;
    }
    if (!clients.isEmpty() && answeredAt == null) {
      answeredAt = now;
      at(now.plus(STILL_COMING), this::stopIfDone);
    }
    boolean waited = answeredAt != null && now.minus(answeredAt).compareTo(STILL_COMING) >= 0;
    if (((clients.isEmpty() && leaving.isEmpty()) || waited)
        && parts.stream().allMatch(GatewayExtension::isDone)) {
      for (int k = parts.size() - 1; k >= 0; k--) {
        parts.get(k).stop();
      }
      LOG.info(() -> "stopped: " + counts());
      enter(Phase.STOPPED);
    }
  }

  /** What is kept at this moment, all of which is bounded by what is open and listed. */
  String describe() {
    return clients.size()
        + " clients, "
        + rpcs.size()
        + " rpcs, "
        + groups.size()
        + " servers, "
        + dues.size()
        + " due; "
        + counts()
        + "; "
        + links.describe()
        + "; "
        + router.describe(now)
        + (parts.isEmpty()
            ? ""
            : "; "
                + parts.stream().map(GatewayExtension::describe).collect(Collectors.joining("; ")));
  }

  private String counts() {
    return taken
        + " taken, "
        + served
        + " ok, "
        + rejected
        + " pushed back, "
        + failed
        + " aborted, "
        + left
        + " left by their clients";
  }

  // ---- Clients

  void accepted(long number) {
    Client client = new Client(number, secrets.nextInt(), now);
    if (clients.size() - parting >= mostClients && !makeRoom()) {
      transport.write(number, MessageEncoder.fatal("53300", "too many clients"));
      farewell(client);
      return;
    }
    clients.put(number, client);
    awaitFirst(client);
  }

  /** Whoever asks nothing in time holds a place for nothing. */
  private void awaitFirst(Client client) {
    if (client.asks == 0) {
      at(
          now.plus(silence),
          () -> {
            if (client.asks == 0 && !client.ending) {
              part(client);
            }
          });
    }
  }

  /** False where nobody goes for a newcomer. */
  private boolean makeRoom() {
    ClientEvictionPolicy<Client> crowd = new ClientEvictionPolicy<>(now, terms.connectTimeout());
    clients.values().stream()
        .filter(c -> !c.parting)
        .forEach(c -> crowd.one(c, c.asks, c.isIdle() ? c.idleSince : null));
    Client goes = crowd.whoGoes();
    if (goes != null) {
      part(goes);
    }
    return goes != null;
  }

  /**
   * Its connection ends with this word, whatever else waits on it: what it had asked gets its
   * answer or, where there is none yet, an error, so that no RPC is left without one.
   */
  private void turnAway(Client client, String state, String text) {
    complain("a client is turned away: " + text);
    List<ByteBuffer> parts = new ArrayList<>();
    for (PipelinedRequest turn : client.turns) {
      parts.addAll(turn.answer != null ? List.of(turn.answer) : List.of(FAILED.duplicate()));
    }
    client.waiting.forEach(w -> parts.add(MessageEncoder.error("53300", "not begun", null)));
    parts.add(MessageEncoder.fatal(state, text));
    transport.write(client.number, parts.toArray(new ByteBuffer[0]));
    farewell(client);
    leave(client);
  }

  void clientGone(long number) {
    Client client = clients.get(number);
    if (client != null) {
      remove(client);
      leave(client);
    }
    if (leaving.remove(number) || client != null) {
      stopIfDone();
    }
  }

  private void leave(Client client) {
    for (PipelinedRequest turn = client.turns.poll(); turn != null; turn = client.turns.poll()) {
      Rpc rpc = turn.rpc;
      if (rpc != null && !rpc.answered) {
        left++;
        rpc.answered = true;
        router.clientDisconnected(now, rpc.id);
        forget(rpc);
      }
    }
  }

  /** It said that it is done. */
  void clientEnded(long number) {
    transport.drop(number);
    clientGone(number);
  }

  void encryptionAsked(long number) {
    inTurn(number, turn -> answer(turn, MessageEncoder.noEncryption()));
  }

  void clientStarted(long number) {
    inTurn(number, turn -> answer(turn, MessageEncoder.welcome((int) number, turn.client.secret)));
  }

  /**
   * By a connection of its own, which ends with it: of whom it names, what is open longest ends as
   * cancelled. That client has left it, and nothing more is sent for it.
   */
  void cancelAsked(long number, int process, int secret) {
    clientEnded(number);
    Client client = clients.get((long) process);
    if (client == null || client.secret != secret) {
      return;
    }
    client.turns.stream()
        .map(turn -> turn.rpc)
        .filter(rpc -> rpc != null && !rpc.answered)
        .findFirst()
        .ifPresent(
            rpc -> {
              left++;
              rpc.answered = true;
              router.clientDisconnected(now, rpc.id);
              answer(rpc, CANCELLED.duplicate());
              forget(rpc);
            });
  }

  /** Answered as ready only once RPCs can be routed. */
  void askedNothing(long number) {
    hasAsked(number);
    inTurn(
        number,
        turn ->
            answer(
                turn,
                phase == Phase.SERVING
                    ? MessageEncoder.emptyQuery()
                    : MessageEncoder.error("57P03", "not ready", null)));
  }

  void askedWrongly(long number, String state, String text) {
    hasAsked(number);
    complain("a client's statement is turned away: " + text);
    inTurn(number, turn -> answer(turn, MessageEncoder.error(state, text, null)));
  }

  void clientBroke(long number, String state, String text) {
    Client client = clients.get(number);
    if (client != null) {
      turnAway(client, state, text);
    }
  }

  /** A message has begun, which the client then has to end. */
  void clientBegun(long number) {
    Client client = clients.get(number);
    if (client != null) {
      int begun = client.words;
      at(
          now.plus(silence),
          () -> {
            if (clients.get(number) == client && client.words == begun && !client.unread) {
              turnAway(client, "08P01", "a message without an end");
            }
          });
    }
  }

  /**
   * @param arrived when its last byte was read, from which its time counts
   */
  void asked(long number, Statement statement, Duration arrived) {
    hasAsked(number);
    inTurn(number, turn -> begin(turn, statement, arrived));
  }

  private void hasAsked(long number) {
    Client client = clients.get(number);
    if (client != null) {
      client.asks++;
    }
  }

  void clientWritten(long number) {
    Client client = clients.get(number);
    if (client == null || !client.writing) {
      return;
    }
    client.writing = false;
    client.idleSince = now;
    next(client);
    if (isClosing()) {
      // While any takes what it is told the others have as long for theirs.
      answeredAt = null;
      closeIfDone(client);
      stopIfDone();
    }
  }

  private void inTurn(long number, Consumer<PipelinedRequest> step) {
    Client client = clients.get(number);
    if (client == null) {
      return;
    }
    client.words++;
    client.waiting.add(
        client.waiting.size() < MOST_WAITING
            ? step
            : turn ->
                answer(turn, MessageEncoder.error("54000", "too many statements at once", null)));
    next(client);
    if (!client.waiting.isEmpty() && !client.unread && !client.ending) {
      client.unread = true;
      transport.read(number, false);
    }
  }

  private void next(Client client) {
    while (client.turns.size() < SIDE_BY_SIDE && !client.ending && !client.waiting.isEmpty()) {
      PipelinedRequest turn = new PipelinedRequest(client);
      client.turns.add(turn);
      client.waiting.poll().accept(turn);
    }
    writeOn(client);
    if (client.unread && client.waiting.isEmpty() && !client.ending) {
      client.unread = false;
      transport.read(client.number, true);
    }
  }

  /**
   * All answers whose turn it is go out as one; the next when these are out, lest a slow reader
   * pile up.
   */
  private void writeOn(Client client) {
    PipelinedRequest first = client.turns.peek();
    if (client.writing || client.ending || first == null || first.answer == null) {
      return;
    }
    List<ByteBuffer> parts = new ArrayList<>();
    for (PipelinedRequest t = first; t != null && t.answer != null; t = client.turns.peek()) {
      parts.addAll(List.of(t.answer));
      client.turns.poll();
    }
    client.writing = true;
    if (transport.write(client.number, parts.toArray(new ByteBuffer[0]))) {
      soon(() -> clientWritten(client.number));
    }
  }

  private void answer(PipelinedRequest turn, ByteBuffer... parts) {
    turn.answer = parts;
    writeOn(turn.client);
  }

  private void begin(PipelinedRequest turn, Statement statement, Duration arrived) {
    if (isClosing(arrived)) {
      // Its connection should have ended; begun now it might be open still when the process is
      // killed.
      answer(turn, MessageEncoder.error("57P03", "stopping", null));
      return;
    }
    int method = terms.methods().indexOf(statement.method());
    RequestId id = new RequestId(statement.id());
    GroupId group = new GroupId(statement.group());
    String fault = null;
    if (method < 0) {
      fault = "unknown method";
    } else if (statement.isWrite()
        != (terms.service().requestClasses().get(method).consistency() == Consistency.WRITE)) {
      fault = "method and statement do not agree";
    } else if (statement.tenant() != null
        && !terms.tenants().isEmpty()
        && !terms.tenants().contains(statement.tenant())) {
      fault = "unknown tenant";
    } else if (!groupNumbers.contains(group) && !list.stands()) {
      answer(turn, MessageEncoder.error("57P03", "not ready", null));
      return;
    } else if (!groupNumbers.contains(group)) {
      fault = "unknown cluster";
    } else if (rpcs.containsKey(id)) {
      fault = "id is in use";
    }
    if (fault != null) {
      complain("a client's statement is turned away: " + fault);
      answer(turn, MessageEncoder.error("22023", fault, null));
      return;
    }
    Duration patience = arrived.plusMillis(statement.waitMillis()).minus(now);
    take(turn, statement, id, method, group, patience.isNegative() ? Duration.ZERO : patience);
  }

  private void take(
      PipelinedRequest turn,
      Statement statement,
      RequestId id,
      int method,
      GroupId group,
      Duration patience) {
    Rpc rpc = new Rpc(id, turn, statement, now.plus(patience));
    taken++;
    rpcs.put(id, rpc);
    LOG.fine(
        () ->
            "rpc "
                + id.name()
                + ": taken, "
                + statement.method()
                + " of group "
                + group.number()
                + ", "
                + patience.toMillis()
                + " ms left");
    Consistency consistency = terms.service().requestClasses().get(method).consistency();
    boolean inSession = consistency == Consistency.WRITE || consistency == Consistency.SESSION;
    long after = statement.afterMillis();
    Duration sinceWrite = now.minus(since(after)).minus(ONE_MILLI);
    router.requestArrived(
        now,
        id,
        method,
        group,
        inSession ? new SessionId(statement.key()) : null,
        after == 0 ? Duration.ZERO : sinceWrite.compareTo(JUST_NOW) < 0 ? JUST_NOW : sinceWrite,
        patience,
        statement.isRepeat());
  }

  private void answer(Rpc rpc, ByteBuffer... parts) {
    rpc.answered = true;
    answer(rpc.turn, parts);
    // The router is in the middle of something.
    soon(() -> next(rpc.turn.client));
  }

  private void forget(Rpc rpc) {
    if (rpc.answered && rpc.out == 0) {
      rpcs.remove(rpc.id);
    }
  }

  // ---- Servers

  void complain(String what) {
    complaints.say(now, Level.WARNING, what);
  }

  ServerConnectionPool links() {
    return links;
  }

  DiscoveryWatcher list() {
    return list;
  }

  /**
   * What came in on all connections by the time that {@link Transport#hear} was asked for is told.
   */
  void heard(long connection) {
    if (!list.heard(connection)) {
      links.heard(connection);
    }
  }

  private void report(ServerId server, String pairs) {
    if (pairs == null || pairs.isEmpty()) {
      return;
    }
    LoadReport report;
    try {
      report = LoadReport.read(pairs, '=');
    } catch (NumberFormatException e) {
      LOG.fine(() -> "report without sense from " + server.name() + ": " + pairs);
      return;
    }
    if (report.position() != null) {
      BigDecimal nanos = report.position().movePointRight(9).setScale(0, RoundingMode.FLOOR);
      Duration position =
          position(Duration.ofNanos(nanos.max(BigDecimal.ZERO).min(MOST_NANOS).longValue()));
      if (position == null) {
        return;
      }
      noteRole(server, report.primary());
      router.reported(now, server, position, report.primary());
    }
  }

  /** For the log alone: what a server says of itself, which the router may know better. */
  private void noteRole(ServerId server, Boolean primary) {
    GroupId group = groups.get(server);
    if (group != null
        && Boolean.TRUE.equals(primary)
        && !server.equals(primaries.put(group, server))) {
      claims.say(
          now,
          Level.INFO,
          "group " + group.number() + ": " + server.name() + " says that it is the primary");
    }
  }

  /** Null for one in the future, which would make its server look fresh until then. */
  private Duration position(Duration unix) {
    Duration position = unix.minus(unixAtStart);
    return position.minus(now).compareTo(terms.connectTimeout()) > 0
        ? null
        : position.compareTo(now) > 0 ? now : position;
  }

  private Duration since(long unixMillis) {
    return Duration.ofMillis(unixMillis).minus(unixAtStart);
  }

  // ---- The list, and other gateways

  void listed(boolean whole, List<DiscoveredEndpoint> members) {
    router.beginEndpointList(now, whole);
    for (DiscoveredEndpoint m : members) {
      ServerId server = new ServerId(m.id());
      if (m.address() != null) {
        links.listed(server, m.address());
      }
      GroupId group = new GroupId(m.group());
      if (m.condition() != EndpointStatus.REMOVED || groups.containsKey(server)) {
        groups.put(server, group);
        groupNumbers.add(group);
      }
      router.endpointListed(
          now,
          server,
          new ZoneId(m.zone()),
          group,
          m.condition(),
          m.upSinceMillis() == 0 ? null : since(m.upSinceMillis()),
          m.head());
    }
    router.endEndpointList(now);
    serveIfReady();
  }

  /** What it does often has been done often enough to be quick. */
  void warmed() {
    warm = true;
    serveIfReady();
  }

  /** Told whenever it changes: whether the list holds all that binds. */
  void setEndpointListValid(boolean stands) {
    router.setEndpointListValid(now, stands);
    serveIfReady();
  }

  /** Whether its own greeting is over, as far as it was begun from here. */
  boolean isWarm() {
    return warm;
  }

  private void serveIfReady() {
    if (phase == Phase.LISTENING
        && warm
        && !groups.isEmpty()
        && list.stands()
        && parts.stream().allMatch(GatewayExtension::isReady)) {
      enter(Phase.SERVING);
    }
  }

  void gossipReceived(ServerId server) {
    router.gossipReceived(now, server);
  }

  // ---- What the router asks for

  @Override
  public void sendAttempt(RequestId id, ServerId server, Duration until) {
    Rpc rpc = rpcs.get(id);
    Attempt attempt =
        new Attempt(rpc, server, until.compareTo(rpc.deadline) < 0 ? until : rpc.deadline);
    LOG.fine(() -> "rpc " + id.name() + ": call-out " + attempt.number + " to " + server.name());
    if (attempt.until.compareTo(now) <= 0) {
      links.drop(attempt, AttemptOutcome.NOT_SENT);
      return;
    }
    links.ask(server, attempt);
    at(
        attempt.until,
        () -> {
          if (!attempt.over) {
            links.drop(attempt, AttemptOutcome.TIMED_OUT);
          }
        });
  }

  @Override
  public void cancel(RequestId id, int number) {
    Rpc rpc = rpcs.get(id);
    if (rpc != null && !rpc.attempts.get(number).over) {
      links.drop(rpc.attempts.get(number), AttemptOutcome.CANCELLED);
    }
  }

  @Override
  public void reject(RequestId id, Duration retryAfter) {
    long millis = retryAfter.toMillis();
    if (giveUp(
        id, MessageEncoder.error("53300", "not now", millis > 0 ? Long.toString(millis) : null))) {
      rejected++;
    }
  }

  @Override
  public void fail(RequestId id) {
    if (giveUp(id, FAILED.duplicate())) {
      failed++;
    }
  }

  /** False where the RPC has had its answer. */
  private boolean giveUp(RequestId id, ByteBuffer words) {
    Rpc rpc = rpcs.get(id);
    if (rpc == null || rpc.answered) {
      return false;
    }
    LOG.fine(
        () ->
            "rpc "
                + id.name()
                + ": given up with "
                + rpc.deadline.minus(now).toMillis()
                + " ms left, "
                + rpc.attempts.size()
                + " call-outs");
    answer(rpc, words);
    forget(rpc);
    return true;
  }

  @Override
  public void sendHealthCheck(ServerId server) {
    LOG.fine(() -> "probe to " + server.name());
    links.ask(server, new Probe(server));
  }

  @Override
  public void gossipUnreachable(ServerId server) {
    byte[] message = GossipMessage.encode(server);
    if (terms.peersAll() != null && message.length <= GossipMessage.MAX_BYTES) {
      transport.tellPeers(terms.peersAll(), message);
    }
  }

  @Override
  public void endpointRemoved(ServerId server) {
    links.forget(server);
    groups.remove(server);
  }

  /**
   * The list is watched from the start and again after each failure: there is nothing left to ask
   * for.
   */
  @Override
  public void watchEndpointList() {}

  @Override
  public void scheduleTick(Duration when) {
    at(when, () -> router.tick(now));
  }

  @Override
  public void scheduleTimer(Duration when) {
    at(when, () -> router.timersDue(now));
  }
}
