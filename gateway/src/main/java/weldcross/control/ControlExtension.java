package weldcross.control;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.logging.Logger;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.Proposal;
import weldcross.consensus.ProposalResult;
import weldcross.consensus.net.ConsensusExtension;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;
import weldcross.membership.net.MembershipExtension;
import weldcross.mesh.PeerName;
import weldcross.mesh.net.MeshExtension;

/**
 * The control endpoint as an extension of a gateway: an operator on this machine asks for the
 * status of the cluster, and decides what only a person may decide. HTTP and JSON on the loopback;
 * {@code weldcross cluster} is its client.
 */
public final class ControlExtension implements GatewayExtension {

  private static final Logger LOG = Logger.getLogger(ControlExtension.class.getName());
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
  private static final int THREADS = 2;

  private final InetSocketAddress listenAddress;
  private final ConsensusExtension consensus;
  private final ConsensusConfig config;
  private final ClusterStatus status;

  /** Requests to forget a gateway that wait for a decision, by the name of that gateway. */
  private final Map<PeerName, List<CompletableFuture<String>>> pendingForgets = new TreeMap<>();

  private final ExecutorService threads =
      Executors.newFixedThreadPool(THREADS, ControlExtension::newThread);
  private ExtensionContext context;
  private HttpServer server;

  /**
   * Creates the extension, without any socket.
   *
   * @param listenAddress on the loopback: whoever reaches it may do all that an operator may
   * @param config of the consensus extension
   */
  public ControlExtension(
      InetSocketAddress listenAddress,
      MeshExtension mesh,
      MembershipExtension membership,
      ConsensusExtension consensus,
      ConsensusConfig config) {
    this.listenAddress = listenAddress;
    this.consensus = consensus;
    this.config = config;
    this.status = new ClusterStatus(mesh, membership, consensus, config);
    consensus.setOperatorListener(this::onProposalDecided);
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "control");
    thread.setDaemon(true);
    return thread;
  }

  // ---- GatewayExtension

  @Override
  public String name() {
    return "control";
  }

  @Override
  public void start(ExtensionContext gateway) {
    context = gateway;
    try {
      server = HttpServer.create(listenAddress, 0);
    } catch (IOException e) {
      throw new IllegalStateException("control.listen " + listenAddress + ": " + e.getMessage(), e);
    }
    server.setExecutor(threads);
    addHandler("/cluster", "GET", this::status);
    addHandler("/cluster/forget", "POST", this::forget);
    addHandler("/cluster/leave", "POST", this::leave);
    addHandler("/cluster/join", "POST", this::join);
    server.start();
    LOG.info(() -> "control: listening: address=" + server.getAddress());
  }

  private void addHandler(String path, String method, ControlRequestHandler.Action action) {
    server.createContext(
        path, new ControlRequestHandler(method, context, RESPONSE_TIMEOUT, action));
  }

  @Override
  public void stop() {
    server.stop(0);
    threads.shutdown();
  }

  @Override
  public String describe() {
    return "control: pendingForgets=" + pendingForgets.size();
  }

  // ---- Requests, on the gateway's thread

  private void status(Optional<PeerName> name, CompletableFuture<String> response) {
    response.complete(status.toJson(context.now()));
  }

  private void forget(Optional<PeerName> name, CompletableFuture<String> response) {
    if (name.isEmpty() || name.get().equals(config.self())) {
      response.completeExceptionally(
          new IllegalArgumentException("forget wants the name of another gateway"));
      return;
    }
    pendingForgets.computeIfAbsent(name.get(), forgotten -> new ArrayList<>()).add(response);
    consensus.service().forget(name.get());
  }

  private void onProposalDecided(Proposal proposal, ProposalResult result) {
    List<CompletableFuture<String>> pending = pendingForgets.remove(proposal.member());
    if (pending != null) {
      String json = ControlJson.object("verdict", result.wireName());
      pending.forEach(response -> response.complete(json));
    }
  }

  private void leave(Optional<PeerName> name, CompletableFuture<String> response) {
    consensus.service().leave(RESPONSE_TIMEOUT);
    replyPhase(response);
  }

  private void join(Optional<PeerName> name, CompletableFuture<String> response) {
    consensus.service().join();
    replyPhase(response);
  }

  private void replyPhase(CompletableFuture<String> response) {
    String phase = consensus.service().viewClient().phase().name();
    response.complete(ControlJson.object("phase", phase));
  }
}
