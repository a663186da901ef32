package weldcross.chaos.load;

import com.fasterxml.jackson.annotation.JsonAlias;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;

/**
 * One request as its client saw it. Times are nanoseconds since the load began.
 *
 * @param rpc its id
 * @param session the key of its session
 * @param type its request class
 * @param group its replica group
 * @param gateway the gateway it was sent to
 * @param sent when its last byte was written, or its connection failed
 * @param ended when its outcome was known
 * @param outcome what became of it
 * @param value what a read returned or a write wrote; empty if it was not served
 * @param detail the error code, or what closed the connection; empty if it was served
 * @param after the value that the session's last acknowledged write had when this was sent; empty
 *     for none
 */
public record ClientOperation(
    String rpc,
    String session,
    @JsonProperty("method") RequestType type,
    int group,
    String gateway,
    long sent,
    long ended,
    Outcome outcome,
    String value,
    String detail,
    String after) {

  /** An answer is waited for beyond the request's deadline by this much, as the platform does. */
  public static final Duration DEADLINE_SLACK = Duration.ofMillis(50);

  /** The detail of a request whose connection was ended in order, and not reset. */
  public static final String ENDED_IN_ORDER = "ended";

  private static final String TOO_MANY_CONNECTIONS = "53300";
  private static final String CANNOT_CONNECT_NOW = "57P03";

  /** What became of a request. */
  public enum Outcome {
    /** It was served. */
    OK,
    /** It was rejected, with the promise that it had no effect. */
    @JsonAlias("PUSHED_BACK")
    REJECTED,
    /** It failed and may have had its effect. */
    @JsonAlias("ABORTED")
    FAILED,
    /** No connection came up, so it was never sent. */
    @JsonAlias("NOT_TAKEN")
    NOT_SENT,
    /** Its connection was closed without an answer. */
    @JsonAlias("ENDED")
    CONNECTION_CLOSED,
    /** No answer came within its time. */
    @JsonAlias("SILENT")
    TIMED_OUT;

    /** Returns what an error with this SQLSTATE says of its request. */
    static Outcome ofError(String sqlState) {
      boolean rejected =
          sqlState.equals(TOO_MANY_CONNECTIONS) || sqlState.equals(CANNOT_CONNECT_NOW);
      return rejected ? REJECTED : FAILED;
    }

    /** Whether the client got no answer at all. */
    boolean isUnanswered() {
      return this == NOT_SENT || this == CONNECTION_CLOSED || this == TIMED_OUT;
    }
  }

  /**
   * Returns this request with another outcome.
   *
   * @param other what became of it
   * @return the changed record
   */
  public ClientOperation with(Outcome other) {
    return new ClientOperation(
        rpc, session, type, group, gateway, sent, ended, other, value, detail, after);
  }

  /**
   * Returns how long it took.
   *
   * @return nanoseconds from its send to its outcome
   */
  public long durationNanos() {
    return ended - sent;
  }
}
