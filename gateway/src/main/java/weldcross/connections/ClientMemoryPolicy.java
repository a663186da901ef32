package weldcross.connections;

/**
 * Decides whether a gateway may hold a further message of a client in memory. Clients share a limit
 * by {@link FairShare}; the reserve of each client lets short requests be served whatever others
 * hold. Does no I/O; immutable.
 */
public final class ClientMemoryPolicy {

  /** What a client may hold even if nothing is free, in bytes. */
  static final int RESERVED_BYTES = 8_192;

  /** Clients may hold the heap divided by this; the rest is for the process and its servers. */
  private static final int HEAP_DIVISOR = 4;

  private final FairShare share;

  /**
   * Creates a policy.
   *
   * @param limitBytes what all clients may hold together, apart from their reserves, in bytes
   */
  public ClientMemoryPolicy(long limitBytes) {
    this.share = new FairShare(limitBytes, RESERVED_BYTES);
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
    return share.limitBytes();
  }

  /**
   * Returns whether a message may be held.
   *
   * @param clientBytes what its client holds already
   * @param heldBytes what all clients hold already; more than the limit if reserves are in use
   * @param messageBytes what the message needs
   */
  public boolean admits(long clientBytes, long heldBytes, long messageBytes) {
    return share.admits(clientBytes, heldBytes, messageBytes);
  }
}
