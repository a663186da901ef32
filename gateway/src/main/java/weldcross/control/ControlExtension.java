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
 * The control endpoint of a gateway: an HTTP and JSON interface on the loopback address through
 * which an operator on this machine queries the cluster status and makes the membership decisions
 * that are not automated. Its client is {@code weldcross cluster}.
 */
public final class ControlExtension implements GatewayExtension {

  private static final Logger LOG = Logger.getLogger(ControlExtension.class.getName());
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
  private static final int HTTP_THREADS = 2;

  private final InetSocketAddress listenAddress;
  private final ConsensusExtension consensus;
  private final ConsensusConfig config;
  private final ClusterStatus status;

  /** Forget requests that await a decision, by the name of the gateway to forget. */
  private final Map<PeerName, List<CompletableFuture<String>>> pendingForgets = new TreeMap<>();

  private final ExecutorService httpThreads =
      Executors.newFixedThreadPool(HTTP_THREADS, ControlExtension::newThread);
  private ExtensionContext context;
  private HttpServer server;

  /**
   * Creates the extension without opening a socket.
   *
   * @param listenAddress loopback address; access to it grants all rights of an operator
   * @param config configuration of the consensus extension
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
    server.setExecutor(httpThreads);
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
    httpThreads.shutdown();
  }

  @Override
  public String describe() {
    return "control: pendingForgets=" + pendingForgets.size();
  }

  // ---- Requests; run on the gateway's thread

  private void status(Optional<PeerName> name, CompletableFuture<String> response) {
    response.complete(status.toJson(context.now()));
  }

  private void forget(Optional<PeerName> name, CompletableFuture<String> response) {
    if (name.isEmpty() || name.get().equals(config.self())) {
      response.completeExceptionally(
          new IllegalArgumentException("forget requires the name of another gateway"));
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
    completeWithPhase(response);
  }

  private void join(Optional<PeerName> name, CompletableFuture<String> response) {
    consensus.service().join();
    completeWithPhase(response);
  }

  private void completeWithPhase(CompletableFuture<String> response) {
    String phase = consensus.service().viewClient().phase().name();
    response.complete(ControlJson.object("phase", phase));
  }
}
