package weldcross.pgwire;

/** SQLSTATE codes with which decoders reject statements and messages. */
final class SqlState {

  static final String FEATURE_NOT_SUPPORTED = "0A000";
  static final String PROTOCOL_VIOLATION = "08P01";
  static final String INVALID_PARAMETER_VALUE = "22023";
  static final String SYNTAX_ERROR = "42601";

  private SqlState() {}
}
