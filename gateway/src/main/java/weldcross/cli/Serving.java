package weldcross.cli;

import java.io.IOException;
import java.util.logging.Level;
import weldcross.config.FaultyTerm;
import weldcross.config.GatewayTerms;
import weldcross.gateway.Rehearsal;
import weldcross.gateway.Service;

/** What {@code serve} does, apart from how its command line is read. */
public final class Serving {

  /** The status where what was told at the start cannot be used. */
  static final int FAULTY = 1;

  private Serving() {}

  /** Returns with the status to exit with. */
  public static int run(Level level) {
    LogLines.start(level);
    try {
      return Service.run(() -> GatewayTerms.read(System.getenv()), service -> {});
    } catch (FaultyTerm e) {
      return faulty(e);
    }
  }

  /** The same with the parts that a file of terms names. */
  static int run(Level level, String with) {
    LogLines.start(level);
    try {
      return Service.run(
          () -> GatewayTerms.read(System.getenv()),
          terms -> Joining.parts(with, terms),
          Joining.wallClock(),
          service -> {});
    } catch (FaultyTerm e) {
      return faulty(e);
    }
  }

  /** The same with stand-ins, as {@link Rehearsal} says; returns with the status to exit with. */
  public static int rehearse(String file) throws IOException {
    LogLines.start(Level.WARNING);
    try {
      return Rehearsal.run(GatewayTerms.read(file));
    } catch (FaultyTerm e) {
      return faulty(e);
    }
  }

  static int faulty(Exception fault) {
    System.err.println("weldcross: " + fault.getMessage());
    return FAULTY;
  }
}
