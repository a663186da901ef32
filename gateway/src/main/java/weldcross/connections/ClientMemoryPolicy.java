package weldcross.connections;

/**
 * Decides whether a gateway may hold a further message of a client in memory. Clients share a limit
 * by dynamic thresholds: each may hold a fraction of what is free. Many clients that send much
 * therefore leave a part free, of which a further client gets its share, while a single one may
 * hold much. Each client may also hold a small reserve, so that short requests are served whatever
 * others hold.
 *
 * <p>Source: Choudhury and Hahne, Dynamic Queue Length Thresholds for Shared-Memory Packet
 * Switches, IEEE/ACM Transactions on Networking 6(2), 1998. Does no I/O; immutable.
 */
public final class ClientMemoryPolicy {

  /** What a client may hold even if nothing is free, in bytes. */
  static final int RESERVED_BYTES = 8_192;

  /** A client may hold the free memory divided by this. */
  private static final int FREE_DIVISOR = 8;

  /** Clients may hold the heap divided by this; the rest is for the process and its servers. */
  private static final int HEAP_DIVISOR = 4;

  private final long limitBytes;

  /**
   * Creates a policy.
   *
   * @param limitBytes what all clients may hold together, apart from their reserves, in bytes
   */
  public ClientMemoryPolicy(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Returns the policy of a process.
   *
   * @param maxHeapBytes the maximum size of its heap
   */
  public static ClientMemoryPolicy ofHeap(long maxHeapBytes) {
    return new ClientMemoryPolicy(maxHeapBytes / HEAP_DIVISOR);
  }

  /** Returns what all clients may hold together, apart from their reserves, in bytes. */
  public long limitBytes() {
    return limitBytes;
  }

  /**
   * Returns whether a message may be held.
   *
   * @param clientBytes what its client holds already
   * @param heldBytes what all clients hold already; more than the limit if reserves are in use
   * @param messageBytes what the message needs
   */
  public boolean admits(long clientBytes, long heldBytes, long messageBytes) {
    long share = Math.max(RESERVED_BYTES, (limitBytes - heldBytes) / FREE_DIVISOR);
    return clientBytes + messageBytes <= share;
  }
}
