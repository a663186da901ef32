package weldcross.cli;

import java.util.logging.Level;
import weldcross.gateway.Service;
import weldcross.terms.GatewayTerms;

/** What {@code serve} does, apart from how its command line is read. */
public final class Serving {

    private Serving() {
    }

    /** Returns with the status to exit with. */
    public static int run(Level level) {
        LogLines.start(level);
        return Service.run(GatewayTerms.read(System.getenv()));
    }
}
