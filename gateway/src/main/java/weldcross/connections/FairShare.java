package weldcross.connections;

/**
 * Shares a memory limit among clients by dynamic thresholds: each may hold a fraction of what is
 * free. Many clients that hold much therefore leave a part free, of which a further client gets its
 * share, while a single one may hold much. Each client may also hold a small reserve, whatever
 * others hold.
 *
 * <p>Source: Choudhury and Hahne, Dynamic Queue Length Thresholds for Shared-Memory Packet
 * Switches, IEEE/ACM Transactions on Networking 6(2), 1998. Does no I/O; immutable.
 *
 * @param limitBytes what all clients may hold together, apart from their reserves, in bytes
 * @param reservedBytes what a client may hold even if nothing is free, in bytes
 */
record FairShare(long limitBytes, int reservedBytes) {

  /** A client may hold the free memory divided by this. */
  private static final int FREE_DIVISOR = 8;

  /**
   * Returns whether a client may hold more.
   *
   * @param clientBytes what the client holds already
   * @param heldBytes what all clients hold already; more than the limit if reserves are in use
   * @param additionalBytes what the client is to hold beside that
   */
  boolean admits(long clientBytes, long heldBytes, long additionalBytes) {
    long share = Math.max(reservedBytes, (limitBytes - heldBytes) / FREE_DIVISOR);
    return clientBytes + additionalBytes <= share;
  }
}
