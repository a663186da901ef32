package weldcross.pgwire;

/**
 * Bytes that are not of the protocol, or a statement that is not of the given form, with its
 * SQLSTATE.
 */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1;

  private final String state;

  ProtocolException(String state, String message) {
    super(message, null, false, false);
    this.state = state;
  }

  public String state() {
    return state;
  }
}
