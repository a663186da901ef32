package weldcross.gateway;

import java.util.concurrent.atomic.AtomicLong;
import weldcross.connections.ResponseMemoryPolicy;
import weldcross.pgwire.ResponseAccount;

/**
 * Accounts for the memory that responses of servers occupy, from the header of a message until the
 * response is written to its client or dropped, and asks the policy what may be held.
 *
 * <p>Thread-safe: responses are received on the thread that reads and written by the event loop.
 */
final class ResponseMemory {

  /** What a response occupies beside its messages, with the request that it answers, in bytes. */
  static final int RESPONSE_OVERHEAD_BYTES = 1_024;

  /** What responses of one kind hold, of one client or of all. */
  private static final class Usage {
    private final AtomicLong held = new AtomicLong();
    private final AtomicLong waiting = new AtomicLong();
  }

  private final ResponseMemoryPolicy policy;
  private final Usage total = new Usage();
  private final AtomicLong refusedRows = new AtomicLong();

  /** Creates the accounting for a gateway's responses. */
  ResponseMemory(ResponseMemoryPolicy policy) {
    this.policy = policy;
  }

  /** Returns the account of a new client. */
  ClientAccount openAccount() {
    return new ClientAccount();
  }

  /** Returns what all responses hold, in bytes. */
  long heldBytes() {
    return total.held.get();
  }

  /** Returns what the responses hold that wait for others of their connections, in bytes. */
  long waitingBytes() {
    return total.waiting.get();
  }

  /** Describes the state for the log. */
  String describe() {
    return "responses hold "
        + total.held
        + " of "
        + policy.limitBytes()
        + " bytes, "
        + total.waiting
        + " waiting, "
        + refusedRows
        + " rows refused";
  }

  /** What the responses to one client hold. */
  final class ClientAccount {
    private final Usage client = new Usage();

    /** Returns the account of a response that is expected. */
    ResponseAccount expectResponse() {
      return new Response(client);
    }
  }

  /** What one response holds. */
  private final class Response implements ResponseAccount {
    private final Usage client;
    private long heldBytes;
    private int rowBytes;
    private long waitingBytes;
    private boolean released;

    private Response(Usage client) {
      this.client = client;
    }

    @Override
    public synchronized void add(int bytes) {
      if (!released) {
        addHeld(heldBytes == 0 ? (long) bytes + RESPONSE_OVERHEAD_BYTES : bytes);
      }
    }

    @Override
    public synchronized boolean admitRow(int bytes) {
      if (!policy.mayReceive(client.held.get(), total.held.get(), bytes)) {
        refusedRows.incrementAndGet();
        return false;
      }
      rowBytes = bytes;
      add(bytes);
      return true;
    }

    @Override
    public synchronized boolean admitWaiting() {
      if (!policy.mayWait(client.waiting.get(), total.waiting.get(), rowBytes)) {
        refusedRows.incrementAndGet();
        return false;
      }
      addWaiting(heldBytes - waitingBytes);
      return true;
    }

    @Override
    public synchronized void stopWaiting() {
      addWaiting(-waitingBytes);
    }

    @Override
    public synchronized void release() {
      released = true;
      stopWaiting();
      addHeld(-heldBytes);
    }

    private void addHeld(long bytes) {
      heldBytes += bytes;
      client.held.addAndGet(bytes);
      total.held.addAndGet(bytes);
    }

    private void addWaiting(long bytes) {
      waitingBytes += bytes;
      client.waiting.addAndGet(bytes);
      total.waiting.addAndGet(bytes);
    }
  }
}
