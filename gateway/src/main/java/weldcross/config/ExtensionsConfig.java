package weldcross.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import weldcross.consensus.ConsensusConfig;
import weldcross.membership.FailureDetectorConfig;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.PeerAddresses;

/**
 * Configuration of the extensions of a gateway, read from a separate TOML file. An extension whose
 * table is absent is not loaded.
 *
 * @param directory directory of the extensions' persistent data; each extension has a subdirectory
 * @param mesh connections between gateways
 * @param failureDetector failure detection, which requires the mesh
 * @param consensus the replicated membership view, which requires the failure detector
 * @param controlAddress loopback address of the control endpoint, which requires consensus
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
   * @param addresses addresses of this gateway and its peers
   */
  public record Mesh(MeshConfig config, PeerAddresses addresses) {}

  /**
   * Reads a file.
   *
   * @param file path of a TOML document
   * @param gateway configuration of the gateway, whose name is the default name in the mesh
   * @throws InvalidConfigException if a value is invalid; the message contains the key and its line
   */
  public static ExtensionsConfig read(String file, GatewayConfig gateway) {
    return new ExtensionsConfigReader(TomlConfigParser.read(file), gateway.name()).read();
  }

  /** Returns a description for operators with one line for each extension. */
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
        + " peers, heartbeat every "
        + config.heartbeatInterval().toMillis()
        + " ms, stalled after "
        + config.heartbeatTimeout().toMillis()
        + " ms";
  }

  private static String describe(FailureDetectorConfig config) {
    return "\n  membership: "
        + (config.zone().isEmpty() ? "" : "zone " + config.zone() + ", ")
        + config.trafficWeight()
        + " thousandths of the traffic, health check every "
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
