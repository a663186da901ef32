package weldcross.pgwire;

/** Thrown for protocol violations and for unsupported statements. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1;

  private final String sqlState;

  /** Creates an exception without a stack trace, as any client can cause it at any rate. */
  ProtocolException(String sqlState, String message) {
    super(message, null, false, false);
    this.sqlState = sqlState;
  }

  /** Returns the five-character SQLSTATE to report to the client. */
  public String sqlState() {
    return sqlState;
  }
}
