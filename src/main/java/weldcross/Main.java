package weldcross;

import java.util.logging.Level;
import weldcross.cli.Commands;
import weldcross.cli.Serving;
import weldcross.terms.FaultyTerm;

/** Where the program starts; what it can do is in {@link Commands}. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) {
        // Picocli takes some 0.2 s of one core to load, which at a restart is time in which nobody is served.
        if (args.length == 1 && args[0].equals("serve")) {
            try {
                System.exit(Serving.run(Level.INFO));
            } catch (FaultyTerm e) {
                System.err.println("weldcross: " + e.getMessage());
                System.exit(1);
            }
        }
        System.exit(Commands.run(args));
    }
}
