package weldcross.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Logger;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.Member;
import weldcross.consensus.MembershipView;
import weldcross.consensus.MembershipViewClient;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.net.ConsensusExtension;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.membership.MembershipUpdate;
import weldcross.membership.net.MemberStateNames;
import weldcross.membership.net.MembershipExtension;
import weldcross.mesh.PeerConnectionManager;
import weldcross.mesh.PeerName;
import weldcross.mesh.net.MeshExtension;

/**
 * Where an operator of this machine asks what the gateway knows of the others, and tells it what
 * only a person may decide. HTTP and JSON on the loopback; what is asked is looked up on the
 * gateway's thread, and waited for on another. {@code weldcross cluster} is its client.
 */
public final class ControlExtension implements GatewayExtension {

  private static final Logger LOG = Logger.getLogger(ControlExtension.class.getName());
  private static final Duration ANSWER_WITHIN = Duration.ofSeconds(5);
  private static final JsonFactory JSON = new JsonFactory();
  private static final int OK = 200, WRONG = 400, NOT_HERE = 404, TOO_LATE = 504;

  private final InetSocketAddress at;
  private final MeshExtension link;
  private final MembershipExtension seen;
  private final ConsensusExtension agreement;
  private final ConsensusConfig terms;

  /** Changes that an operator waits for, by whom they are about. */
  private final Map<PeerName, CompletableFuture<ProposalResult>> waiting = new TreeMap<>();

  private final ExecutorService threads =
      Executors.newFixedThreadPool(
          2,
          task -> {
            Thread made = new Thread(task, "control");
            made.setDaemon(true);
            return made;
          });
  private ExtensionContext seam;
  private HttpServer server;

  /**
   * @param terms of the agreement; with it, as the parts are, never null
   */
  public ControlExtension(
      InetSocketAddress at,
      MeshExtension link,
      MembershipExtension seen,
      ConsensusExtension agreement,
      ConsensusConfig terms) {
    this.at = at;
    this.link = link;
    this.seen = seen;
    this.agreement = agreement;
    this.terms = terms;
    agreement.operator(this::told);
  }

  // ---- Of the gateway

  @Override
  public String name() {
    return "control";
  }

  @Override
  public void start(ExtensionContext gateway) {
    seam = gateway;
    try {
      server = HttpServer.create(at, 0);
    } catch (IOException e) {
      throw new IllegalStateException("control.listen " + at + ": " + e.getMessage(), e);
    }
    server.setExecutor(threads);
    server.createContext("/cluster", exchange -> handle(exchange, "GET", this::cluster));
    server.createContext("/cluster/forget", exchange -> handle(exchange, "POST", this::forget));
    server.createContext("/cluster/leave", exchange -> handle(exchange, "POST", this::leave));
    server.createContext("/cluster/join", exchange -> handle(exchange, "POST", this::join));
    server.start();
    LOG.info(() -> "control: on " + server.getAddress());
  }

  @Override
  public boolean isReady() {
    return true;
  }

  @Override
  public void reloaded() {
    // Its terms hold from a start on.
  }

  @Override
  public void drain() {
    // It answers to the end: that is when it is asked most.
  }

  @Override
  public boolean isDone() {
    return true;
  }

  @Override
  public void stop() {
    server.stop(0);
    threads.shutdown();
  }

  @Override
  public String describe() {
    return "control, " + waiting.size() + " changes waited for";
  }

  // ---- What is asked

  private interface Answer {
    void begin(PeerName about, CompletableFuture<String> json);
  }

  private void handle(HttpExchange exchange, String method, Answer answer) throws IOException {
    try (exchange) {
      if (!exchange.getRequestMethod().equals(method)) {
        reply(exchange, NOT_HERE, json(j -> text(j, "fault", method + " is wanted here")));
        return;
      }
      String query = exchange.getRequestURI().getRawQuery();
      PeerName about =
          query == null || !query.startsWith("name=")
              ? null
              : new PeerName(URLDecoder.decode(query.substring(5), StandardCharsets.UTF_8));
      CompletableFuture<String> json = new CompletableFuture<>();
      seam.post(() -> answer.begin(about, json));
      try {
        reply(exchange, OK, json.get(ANSWER_WITHIN.toMillis(), TimeUnit.MILLISECONDS));
      } catch (TimeoutException e) {
        reply(
            exchange,
            TOO_LATE,
            json(
                j ->
                    text(
                        j,
                        "fault",
                        "no answer in "
                            + ANSWER_WITHIN.toSeconds()
                            + " s: no leader, or this gateway is cut off; it may still be done")));
      } catch (ExecutionException e) {
        reply(exchange, WRONG, json(j -> text(j, "fault", e.getCause().getMessage())));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void reply(HttpExchange exchange, int status, String json) throws IOException {
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private interface Writing {
    void to(JsonGenerator json) throws IOException;
  }

  private static String json(Writing writing) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      writing.to(json);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private static void text(JsonGenerator json, String key, String value) throws IOException {
    json.writeStringField(key, value);
  }

  /**
   * All that is known of each gateway, side by side: what is seen and what is agreed are never
   * mixed.
   */
  private void cluster(PeerName about, CompletableFuture<String> done) {
    MembershipViewClient agreed = agreement.agreement().agreed();
    MembershipView view = agreed.view();
    PeerConnectionManager links = link.connections();
    Duration now = seam.now();
    TreeSet<PeerName> names = new TreeSet<>(view.members().keySet());
    Map<PeerName, MembershipUpdate> held = new TreeMap<>();
    seen.failureDetector().members().forEach(n -> held.put(n.member(), n));
    names.addAll(held.keySet());
    names.addAll(links.peers());
    names.add(terms.self());
    done.complete(
        json(
            j -> {
              text(j, "self", terms.self().name());
              text(j, "group", terms.group());
              j.writeNumberField("view", view.number());
              text(j, "phase", agreed.phase().name());
              text(j, "leader", agreed.leader() == null ? "" : agreed.leader().name());
              Duration age = agreed.leaderAge(now);
              j.writeNumberField("leader_age_ms", age == null ? -1 : age.toMillis());
              j.writeNumberField("share", agreed.share());
              text(
                  j,
                  "voter",
                  agreement.agreement().voter() == null
                      ? ""
                      : agreement.agreement().voter().phase().name());
              text(j, "disk", link.diskFailure().orElse(""));
              j.writeArrayFieldStart("gateways");
              for (PeerName name : names) {
                gateway(
                    j,
                    name,
                    view.members().get(name),
                    held.get(name),
                    links.lastHeardAt(name).orElse(null),
                    now);
              }
              j.writeEndArray();
            }));
  }

  private void gateway(
      JsonGenerator j,
      PeerName name,
      Member member,
      MembershipUpdate news,
      Duration heardAt,
      Duration now)
      throws IOException {
    boolean self = name.equals(terms.self());
    MembershipUpdate known = self ? seen.failureDetector().self().orElse(null) : news;
    j.writeStartObject();
    text(j, "name", name.name());
    text(j, "seen", self ? "SELF" : MemberStateNames.nameOf(seen.failureDetector().stateOf(name)));
    j.writeNumberField("life", known == null ? 0 : known.incarnation());
    j.writeNumberField("agreed", member == null ? 0 : member.life());
    text(j, "zone", member != null ? member.zone() : known == null ? "" : known.zone());
    j.writeNumberField(
        "part", member != null ? member.part() : known == null ? 0 : known.trafficWeight());
    j.writeNumberField("heard_ms", self || heardAt == null ? -1 : now.minus(heardAt).toMillis());
    text(j, "link", self ? "" : link.connections().isUp(name) ? "up" : "down");
    j.writeBooleanField("votes", terms.voters().contains(name));
    j.writeEndObject();
  }

  private void forget(PeerName about, CompletableFuture<String> done) {
    if (about == null || about.equals(terms.self())) {
      done.completeExceptionally(
          new IllegalArgumentException("forget wants the name of another gateway"));
      return;
    }
    CompletableFuture<ProposalResult> verdict =
        waiting.computeIfAbsent(about, n -> new CompletableFuture<>());
    verdict.thenAccept(v -> done.complete(json(j -> text(j, "verdict", v.name()))));
    agreement.agreement().forget(about);
  }

  private void told(Proposal motion, ProposalResult verdict) {
    CompletableFuture<ProposalResult> one = waiting.remove(motion.of());
    if (one != null) {
      one.complete(verdict);
    }
  }

  private void leave(PeerName about, CompletableFuture<String> done) {
    agreement.agreement().leave(ANSWER_WITHIN);
    done.complete(json(j -> text(j, "phase", agreement.agreement().agreed().phase().name())));
  }

  private void join(PeerName about, CompletableFuture<String> done) {
    agreement.agreement().join();
    done.complete(json(j -> text(j, "phase", agreement.agreement().agreed().phase().name())));
  }
}
