package weldcross;

import weldcross.cli.Commands;

/** Where the program starts; what it can do is in {@link Commands}. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) {
        System.exit(Commands.run(args));
    }
}
