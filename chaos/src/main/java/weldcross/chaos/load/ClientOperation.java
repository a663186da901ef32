package weldcross.chaos.load;

import com.fasterxml.jackson.annotation.JsonAlias;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.EOFException;
import java.io.IOException;
import java.time.Duration;

/**
 * One request as its client saw it. Times are nanoseconds since the load began.
 *
 * @param rpc the request id
 * @param session the key of the client session
 * @param type the request class
 * @param group the replica group
 * @param gateway the gateway that the request was sent to
 * @param sent when the last byte was written or the connection failed
 * @param ended when the outcome was known
 * @param outcome the outcome as the client saw it
 * @param value the value read or written; empty if the request was not served
 * @param detail the SQLSTATE, or the reason why the connection closed; empty if the request was
 *     served
 * @param after the value of the session's last acknowledged write at the time of sending; empty for
 *     none
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

  /** How long a client waits for the response beyond the deadline, as the platform does. */
  public static final Duration DEADLINE_SLACK = Duration.ofMillis(50);

  /** The detail of a request whose connection was closed cleanly (FIN) rather than reset. */
  public static final String CLOSED_CLEANLY = "ended";

  private static final String TOO_MANY_CONNECTIONS = "53300";
  private static final String CANNOT_CONNECT_NOW = "57P03";

  /** The outcome of a request as its client saw it. */
  public enum Outcome {
    /** Served. */
    OK,
    /** Rejected with the guarantee that it had no effect. */
    @JsonAlias("PUSHED_BACK")
    REJECTED,
    /** Failed, and may have had its effect. */
    @JsonAlias("ABORTED")
    FAILED,
    /** Never sent, because no connection was established. */
    @JsonAlias("NOT_TAKEN")
    NOT_SENT,
    /** The connection was closed before a response arrived. */
    @JsonAlias("ENDED")
    CONNECTION_CLOSED,
    /** No response arrived before the deadline. */
    @JsonAlias("SILENT")
    TIMED_OUT;

    /** Returns the outcome of a request that was answered with this SQLSTATE. */
    static Outcome ofError(String sqlState) {
      boolean rejected =
          sqlState.equals(TOO_MANY_CONNECTIONS) || sqlState.equals(CANNOT_CONNECT_NOW);
      return rejected ? REJECTED : FAILED;
    }

    /** Returns whether the client received no response at all. */
    boolean isUnanswered() {
      return this == NOT_SENT || this == CONNECTION_CLOSED || this == TIMED_OUT;
    }
  }

  /**
   * Returns a copy of this operation with another outcome.
   *
   * @param other the outcome of the copy
   * @return the copy
   */
  public ClientOperation withOutcome(Outcome other) {
    return new ClientOperation(
        rpc, session, type, group, gateway, sent, ended, other, value, detail, after);
  }

  /** Returns the detail of a request whose connection ended with this exception. */
  static String detailOf(IOException e) {
    return e instanceof EOFException ? CLOSED_CLEANLY : String.valueOf(e.getMessage());
  }

  /**
   * Returns the duration of the request.
   *
   * @return nanoseconds from sending to the outcome
   */
  public long durationNanos() {
    return ended - sent;
  }
}
