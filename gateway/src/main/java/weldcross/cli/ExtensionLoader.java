package weldcross.cli;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import java.util.function.Supplier;
import weldcross.config.ExtensionsConfig;
import weldcross.config.GatewayConfig;
import weldcross.consensus.ConsensusConfig;
import weldcross.consensus.net.ConsensusExtension;
import weldcross.control.ControlExtension;
import weldcross.extension.GatewayExtension;
import weldcross.membership.net.MembershipExtension;
import weldcross.mesh.net.MeshExtension;

/** Creates the extensions that are configured by a file; loaded only if there is such a file. */
final class ExtensionLoader {

  private ExtensionLoader() {}

  /**
   * Creates the extensions of a file in the order in which they start.
   *
   * @param file path of the extensions' TOML file
   * @param gateway configuration of the gateway
   * @throws weldcross.config.InvalidConfigException if a value of the file is invalid
   */
  static List<GatewayExtension> load(String file, GatewayConfig gateway) {
    ExtensionsConfig config = ExtensionsConfig.read(file, gateway);
    List<GatewayExtension> extensions = new ArrayList<>();
    if (config.mesh().isEmpty()) {
      return extensions;
    }
    ExtensionsConfig.Mesh meshConfig = config.mesh().get();
    MeshExtension mesh =
        new MeshExtension(
            meshConfig.config(), meshConfig.addresses(), config.directory(), gateway.seed());
    extensions.add(mesh);
    if (config.failureDetector().isEmpty()) {
      return extensions;
    }
    MembershipExtension membership =
        new MembershipExtension(config.failureDetector().get(), mesh, gateway.seed());
    extensions.add(membership);
    if (config.consensus().isEmpty()) {
      return extensions;
    }
    ConsensusConfig consensusConfig = config.consensus().get();
    ConsensusExtension consensus =
        new ConsensusExtension(
            consensusConfig,
            mesh,
            membership,
            config.directory(),
            1.0 / gateway.routing().gateways(),
            gateway.seed());
    extensions.add(consensus);
    config
        .controlAddress()
        .map(address -> new ControlExtension(address, mesh, membership, consensus, consensusConfig))
        .ifPresent(extensions::add);
    return extensions;
  }

  /**
   * Returns the wall clock: the system clock, unless the class path provides another {@link
   * InstantSource}, for example one that simulates a clock error in a test.
   */
  static Supplier<Instant> wallClock() {
    return ServiceLoader.load(InstantSource.class).findFirst().orElse(InstantSource.system())
        ::instant;
  }
}
