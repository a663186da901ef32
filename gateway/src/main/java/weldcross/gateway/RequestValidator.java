package weldcross.gateway;

import weldcross.config.GatewayConfig;
import weldcross.pgwire.Statement;
import weldcross.routing.GroupId;
import weldcross.routing.RequestClass.Consistency;
import weldcross.routing.RequestId;

/** Checks that a statement is valid for the gateway's configuration and current state. */
final class RequestValidator {

  /** The result of a check; all but {@link #VALID} are answered with an error. */
  enum Result {
    VALID(null, null),
    UNKNOWN_REQUEST_CLASS("22023", "unknown method"),
    WRONG_REQUEST_CLASS("22023", "method and statement do not agree"),
    UNKNOWN_TENANT("22023", "unknown tenant"),
    UNKNOWN_GROUP("22023", "unknown cluster"),
    DUPLICATE_ID("22023", "id is in use"),
    /** The request must not run twice, and may have run. */
    EXECUTED_BEFORE("58000", "id was sent before, and may have run"),
    /** The group is unknown, but a valid endpoint list may contain it. */
    NOT_READY("57P03", "not ready");

    /** The SQLSTATE of the error; null if valid. */
    final String sqlState;

    /** The text of the error; null if valid. */
    final String text;

    Result(String sqlState, String text) {
      this.sqlState = sqlState;
      this.text = text;
    }
  }

  private final GatewayConfig config;
  private final EndpointDirectory endpoints;
  private final DiscoveryWatcher discovery;
  private final AttemptTracker attempts;

  RequestValidator(
      GatewayConfig config,
      EndpointDirectory endpoints,
      DiscoveryWatcher discovery,
      AttemptTracker attempts) {
    this.config = config;
    this.endpoints = endpoints;
    this.discovery = discovery;
    this.attempts = attempts;
  }

  /**
   * Checks a statement.
   *
   * @param requestClass the index of the statement's request class; negative if it is unknown
   */
  Result check(Statement statement, int requestClass, RequestId id, GroupId group) {
    if (requestClass < 0) {
      return Result.UNKNOWN_REQUEST_CLASS;
    }
    if (statement.isWrite() != isWrite(requestClass)) {
      return Result.WRONG_REQUEST_CLASS;
    }
    if (statement.tenant() != null
        && !config.tenants().isEmpty()
        && !config.tenants().contains(statement.tenant())) {
      return Result.UNKNOWN_TENANT;
    }
    if (!endpoints.isKnown(group)) {
      return discovery.isListValid() ? Result.UNKNOWN_GROUP : Result.NOT_READY;
    }
    if (attempts.find(id) != null) {
      return Result.DUPLICATE_ID;
    }
    return attempts.mayHaveExecuted(id) ? Result.EXECUTED_BEFORE : Result.VALID;
  }

  private boolean isWrite(int requestClass) {
    return config.routing().requestClasses().get(requestClass).consistency() == Consistency.WRITE;
  }
}
