package weldcross.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import weldcross.consensus.ConsensusConfig;
import weldcross.membership.FailureDetectorConfig;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerAddresses;

/**
 * Configuration of the extensions of a gateway, read from a TOML file of its own. A table that is
 * absent is an extension that is not loaded.
 *
 * @param directory where extensions store what must survive a restart, each in its own folder
 * @param mesh connections between gateways
 * @param failureDetector failure detection, which needs the mesh
 * @param consensus the replicated membership view, which needs the failure detector
 * @param controlAddress loopback address of the operator's endpoint, which needs consensus
 */
public record ExtensionsConfig(
    Path directory,
    Optional<Mesh> mesh,
    Optional<FailureDetectorConfig> failureDetector,
    Optional<ConsensusConfig> consensus,
    Optional<InetSocketAddress> controlAddress) {

  /**
   * Configuration of the mesh.
   *
   * @param config limits and intervals
   * @param addresses of this gateway and its peers
   */
  public record Mesh(MeshConfig config, PeerAddresses addresses) {}

  /**
   * Reads a file.
   *
   * @param file path of a TOML document
   * @param gateway the gateway, whose name is the default name in the mesh
   * @throws InvalidConfigException if a value cannot be used; names the key and its line
   */
  public static ExtensionsConfig read(String file, GatewayConfig gateway) {
    return new ExtensionsConfigReader(TomlConfigParser.read(file), gateway.name()).read();
  }

  /** Returns a description for an operator, one line an extension. */
  public String describe() {
    return "  data directory "
        + directory
        + mesh.map(ExtensionsConfig::describe).orElse("")
        + failureDetector.map(ExtensionsConfig::describe).orElse("")
        + consensus.map(ExtensionsConfig::describe).orElse("")
        + controlAddress.map(address -> "\n  control on " + describe(address)).orElse("");
  }

  private static String describe(Mesh mesh) {
    MeshConfig config = mesh.config();
    return "\n  link: cluster "
        + config.cluster()
        + ", "
        + config.self()
        + " on "
        + describe(mesh.addresses().listenAddress())
        + ", "
        + config.peers().size()
        + " peers, a heartbeat each "
        + config.heartbeatInterval().toMillis()
        + " ms, stalled after "
        + config.heartbeatTimeout().toMillis()
        + " ms";
  }

  private static String describe(FailureDetectorConfig config) {
    return "\n  membership: "
        + (config.zone().isEmpty() ? "" : "zone " + config.zone() + ", ")
        + config.trafficWeight()
        + " thousandths of the traffic, a health check each "
        + config.probeInterval().toMillis()
        + " ms";
  }

  private static String describe(ConsensusConfig config) {
    return "\n  agreement: voters "
        + config.voters()
        + (config.isVoter() ? ", this gateway among them" : "");
  }

  private static String describe(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
