package weldcross;

import java.io.IOException;
import weldcross.bench.WireLoop;
import weldcross.gateway.Service;
import weldcross.terms.FaultyTerm;
import weldcross.terms.GatewayTerms;

/** Starts the service in the shape that the argument names. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost") && !args[0].equals("serve")) {
            System.err.println("usage: java -jar weldcross.jar serve|wirehost");
            System.exit(2);
        }
        try {
            if (args[0].equals("serve")) {
                System.exit(Service.run(GatewayTerms.read(System.getenv())));
            }
            new WireLoop(System.in, System.out).run();
        } catch (WireLoop.Malformed | FaultyTerm e) {
            System.err.println("weldcross: " + e.getMessage());
            System.exit(1);
        }
    }
}
