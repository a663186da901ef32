package weldcross.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** The log: to standard error, one line a record, with a fault's trace below it. */
final class LogFormatter extends Formatter {

  /** Held, as a logger that nothing holds may lose its level. */
  private static final Logger SOCKETS = Logger.getLogger("org.apache.mina");

  static void start(Level level) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler handler = new ConsoleHandler();
    handler.setLevel(level);
    handler.setFormatter(new LogFormatter());
    root.addHandler(handler);
    root.setLevel(level);
    // Every connection that ends is a warning to MINA; here it is the network's ordinary life.
    SOCKETS.setLevel(Level.SEVERE);
  }

  @Override
  public String format(LogRecord record) {
    String from = record.getLoggerName() == null ? "" : record.getLoggerName();
    StringBuilder line =
        new StringBuilder()
            .append(Instant.ofEpochMilli(record.getMillis()).truncatedTo(ChronoUnit.MILLIS))
            .append(' ')
            .append(record.getLevel())
            .append(' ')
            .append(from.substring(from.lastIndexOf('.') + 1))
            .append(": ")
            .append(formatMessage(record))
            .append('\n');
    if (record.getThrown() != null) {
      StringWriter trace = new StringWriter();
      record.getThrown().printStackTrace(new PrintWriter(trace, true));
      line.append(trace);
    }
    return line.toString();
  }
}
