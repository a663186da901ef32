package weldcross;

import java.io.IOException;
import weldcross.bench.WireLoop;

/** Starts the service in the shape that the argument names; {@code wirehost} speaks the bench's wire. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar weldcross.jar wirehost");
            System.exit(2);
        }
        try {
            new WireLoop(System.in, System.out).run();
        } catch (WireLoop.Malformed e) {
            System.err.println("weldcross: " + e.getMessage());
            System.exit(1);
        }
    }
}
