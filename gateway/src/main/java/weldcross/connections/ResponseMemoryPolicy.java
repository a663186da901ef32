package weldcross.connections;

/**
 * Decides what a gateway may hold of the responses of servers. A row is held while it arrives,
 * while it waits behind the responses to earlier requests of its connection, and until its client
 * has read it. Rows that wait may take a part of the limit only, so that rows that can be written
 * at once find room. The request of a row that may not be held is refused. Does no I/O; immutable.
 */
public final class ResponseMemoryPolicy {

  /**
   * A row of up to this size is always held, in bytes. Responses to writes are short, and must not
   * be dropped: the write has taken effect.
   */
  static final int SHORT_ROW_BYTES = 1_024;

  /** Responses may hold the heap divided by this, beside what clients send. */
  private static final int HEAP_DIVISOR = 4;

  /** Rows that wait may hold the limit divided by this. */
  private static final int WAITING_DIVISOR = 2;

  private final FairShare share;
  private final FairShare waitingShare;

  /**
   * Creates a policy.
   *
   * @param limitBytes what all responses may hold together, apart from short ones, in bytes
   */
  public ResponseMemoryPolicy(long limitBytes) {
    this.share = new FairShare(limitBytes, 0);
    this.waitingShare = new FairShare(limitBytes / WAITING_DIVISOR, 0);
  }

  /**
   * Returns the policy of a process.
   *
   * @param maxHeapBytes the maximum size of its heap
   */
  public static ResponseMemoryPolicy ofHeap(long maxHeapBytes) {
    return new ResponseMemoryPolicy(maxHeapBytes / HEAP_DIVISOR);
  }

  /** Returns what all responses may hold together, apart from short ones, in bytes. */
  public long limitBytes() {
    return share.limitBytes();
  }

  /**
   * Returns whether a row may be received.
   *
   * @param clientBytes what the responses to its client hold already
   * @param heldBytes what all responses hold already; more than the limit if many are short
   * @param rowBytes the size of the row
   */
  public boolean mayReceive(long clientBytes, long heldBytes, long rowBytes) {
    return rowBytes <= SHORT_ROW_BYTES || share.admits(clientBytes, heldBytes, rowBytes);
  }

  /**
   * Returns whether a response may wait, rather than be refused, as it cannot be written yet.
   *
   * @param clientBytes what responses to its client hold that wait already
   * @param waitingBytes what all responses hold that wait already
   * @param rowBytes the size of its row
   */
  public boolean mayWait(long clientBytes, long waitingBytes, long rowBytes) {
    return rowBytes <= SHORT_ROW_BYTES || waitingShare.admits(clientBytes, waitingBytes, rowBytes);
  }
}
