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

/** Formats a log record as one line, followed by the stack trace of its exception. */
final class LogFormatter extends Formatter {

  /** Strong reference: a logger that is garbage-collected loses its level. */
  private static final Logger MINA = Logger.getLogger("org.apache.mina");

  /** Configures logging to standard error in this format, at the given level and above. */
  static void install(Level level) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler handler = new ConsoleHandler();
    handler.setLevel(level);
    handler.setFormatter(new LogFormatter());
    root.addHandler(handler);
    root.setLevel(level);
    // MINA logs a warning for every connection reset, which is normal for a gateway.
    MINA.setLevel(Level.SEVERE);
  }

  @Override
  public String format(LogRecord record) {
    String logger = record.getLoggerName() == null ? "" : record.getLoggerName();
    StringBuilder line =
        new StringBuilder()
            .append(Instant.ofEpochMilli(record.getMillis()).truncatedTo(ChronoUnit.MILLIS))
            .append(' ')
            .append(record.getLevel())
            .append(' ')
            .append(logger.substring(logger.lastIndexOf('.') + 1))
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
