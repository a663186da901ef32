package weldcross.cli;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import java.util.function.Supplier;
import weldcross.config.ExtensionsConfig;
import weldcross.config.GatewayConfig;
import weldcross.consensus.net.ConsensusExtension;
import weldcross.control.ControlExtension;
import weldcross.extension.GatewayExtension;
import weldcross.membership.net.MembershipExtension;
import weldcross.mesh.net.MeshExtension;

/** Makes the parts that a file of terms names; loaded only where one is told. */
final class ExtensionLoader {

  private ExtensionLoader() {}

  static List<GatewayExtension> parts(String file, GatewayConfig gateway) {
    ExtensionsConfig terms = ExtensionsConfig.read(file, gateway);
    List<GatewayExtension> parts = new ArrayList<>();
    if (terms.link() != null) {
      MeshExtension link =
          new MeshExtension(terms.link(), terms.places(), terms.directory(), gateway.seed());
      parts.add(link);
      MembershipExtension seen = null;
      if (terms.seen() != null) {
        seen = new MembershipExtension(terms.seen(), link, gateway.seed());
        parts.add(seen);
      }
      ConsensusExtension agreement = null;
      if (terms.agreement() != null) {
        agreement =
            new ConsensusExtension(
                terms.agreement(),
                link,
                seen,
                terms.directory(),
                1.0 / gateway.service().gateways(),
                gateway.seed());
        parts.add(agreement);
        if (terms.control() != null) {
          parts.add(
              new ControlExtension(terms.control(), link, seen, agreement, terms.agreement()));
        }
      }
    }
    return parts;
  }

  /**
   * The system's, unless the class path brings another: one that is wrong, say, to see what that
   * does.
   */
  static Supplier<Instant> wallClock() {
    return ServiceLoader.load(InstantSource.class).findFirst().orElse(InstantSource.system())
        ::instant;
  }
}
