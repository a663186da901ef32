package weldcross.chaos.load;

/**
 * One RPC as its client saw it.
 *
 * @param sent when its last byte was written, or its connection failed; since the load began, in
 *     nanoseconds
 * @param value what a read or write that was served gave
 * @param detail the code of a refusal, or what ended the connection
 * @param after the value that the session's last acknowledged write had when this was sent; empty
 *     for none
 */
public record ClientOperation(
    String rpc,
    String session,
    Method method,
    int group,
    String gateway,
    long sent,
    long ended,
    ClientOutcome outcome,
    String value,
    String detail,
    String after) {

  /** What became of it. */
  public enum ClientOutcome {
    OK,
    PUSHED_BACK,
    ABORTED,
    /** No connection came up: it was never sent. */
    NOT_TAKEN,
    /** Its connection ended without an answer. */
    ENDED,
    /** Nothing came within its time. */
    SILENT
  }

  public long took() {
    return ended - sent;
  }
}
