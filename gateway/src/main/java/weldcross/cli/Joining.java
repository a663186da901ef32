package weldcross.cli;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import java.util.function.Supplier;
import weldcross.config.GatewayTerms;
import weldcross.config.PartTerms;
import weldcross.consensus.net.AgreementPart;
import weldcross.control.ControlPart;
import weldcross.extension.Part;
import weldcross.membership.net.SeenPart;
import weldcross.mesh.net.LinkPart;

/** Makes the parts that a file of terms names; loaded only where one is told. */
final class Joining {

  private Joining() {}

  static List<Part> parts(String file, GatewayTerms gateway) {
    PartTerms terms = PartTerms.read(file, gateway);
    List<Part> parts = new ArrayList<>();
    if (terms.link() != null) {
      LinkPart link = new LinkPart(terms.link(), terms.places(), terms.directory(), gateway.seed());
      parts.add(link);
      SeenPart seen = null;
      if (terms.seen() != null) {
        seen = new SeenPart(terms.seen(), link, gateway.seed());
        parts.add(seen);
      }
      AgreementPart agreement = null;
      if (terms.agreement() != null) {
        agreement =
            new AgreementPart(
                terms.agreement(),
                link,
                seen,
                terms.directory(),
                1.0 / gateway.service().gateways(),
                gateway.seed());
        parts.add(agreement);
        if (terms.control() != null) {
          parts.add(new ControlPart(terms.control(), link, seen, agreement, terms.agreement()));
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
