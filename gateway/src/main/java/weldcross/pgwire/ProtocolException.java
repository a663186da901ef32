package weldcross.pgwire;

/** Thrown for bytes that violate the protocol, and for statements that are not served. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1;

  private final String sqlState;

  /** Has no stack trace: any client can cause it, as often as it likes. */
  ProtocolException(String sqlState, String message) {
    super(message, null, false, false);
    this.sqlState = sqlState;
  }

  /** Returns the SQLSTATE, of five characters, that a client is to be told. */
  public String sqlState() {
    return sqlState;
  }
}
