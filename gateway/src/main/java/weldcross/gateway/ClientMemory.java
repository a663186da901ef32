package weldcross.gateway;

import java.util.concurrent.atomic.AtomicLong;
import weldcross.connections.ClientMemoryPolicy;

/**
 * Accounts for the memory that the requests of all clients occupy, from the header of a message
 * until its request has ended, and asks the policy whether a further message may be held.
 *
 * <p>Thread-safe: messages are received and connections closed on the thread that reads, and
 * requests end on the event loop's thread.
 */
final class ClientMemory {

  /** What a request occupies beside its message, in bytes. */
  static final int REQUEST_OVERHEAD_BYTES = 1_536;

  private final ClientMemoryPolicy policy;
  private final AtomicLong heldBytes = new AtomicLong();
  private final AtomicLong refusedMessages = new AtomicLong();

  /** Creates the accounting for a gateway's clients. */
  ClientMemory(ClientMemoryPolicy policy) {
    this.policy = policy;
  }

  /** Returns an account that admits every message. */
  static Account unlimitedAccount() {
    return new ClientMemory(new ClientMemoryPolicy(Long.MAX_VALUE)).openAccount();
  }

  /** Returns the account of a new connection. */
  Account openAccount() {
    return new Account();
  }

  /** Returns what all clients hold, in bytes. */
  long heldBytes() {
    return heldBytes.get();
  }

  /** Describes the state for the log. */
  String describe() {
    return "clients hold "
        + heldBytes
        + " of "
        + policy.limitBytes()
        + " bytes, "
        + refusedMessages
        + " messages refused";
  }

  /** What one connection holds. Guarded by its own monitor. */
  final class Account {

    /** Bytes of messages that are being received or wait; given back when the connection closes. */
    private long waitingBytes;

    /** Bytes of requests that have started; given back when they end. */
    private long startedBytes;

    /** Bytes of the message that is being received; 0 if there is none. */
    private long receivingBytes;

    private boolean closed;

    /** Whether messages are refused until all input that has arrived is read. */
    private volatile boolean refusing;

    /**
     * Returns whether a message may be held, and accounts for it if so. After a refusal further
     * messages are refused until {@link #inputDrained}: what a client sends faster than it is read
     * is not begun, as its disconnect may lie behind.
     *
     * @param messageBytes the size of the message
     */
    synchronized boolean admit(int messageBytes) {
      long bytes = (long) messageBytes + REQUEST_OVERHEAD_BYTES;
      if (refusing || !policy.admits(waitingBytes + startedBytes, heldBytes.get(), bytes)) {
        refusing = true;
        refusedMessages.incrementAndGet();
        return false;
      }
      receivingBytes = bytes;
      waitingBytes += bytes;
      heldBytes.addAndGet(bytes);
      return true;
    }

    /** Refuses messages until {@link #inputDrained}. */
    void refuseUntilDrained() {
      refusing = true;
    }

    /** Records that all input that had arrived was read. */
    void inputDrained() {
      refusing = false;
    }

    /** Returns whether messages are being refused and more input may have arrived. */
    boolean isRefusing() {
      return refusing;
    }

    /** Returns the memory of the message that was admitted last and is now complete. */
    RequestMemory messageReceived() {
      return messageReceived(0);
    }

    /**
     * Returns the memory of the message that was admitted last and is now complete.
     *
     * @param textBytes what the text that was decoded from it occupies beside it, in bytes
     */
    synchronized RequestMemory messageReceived(int textBytes) {
      receivingBytes += textBytes;
      waitingBytes += textBytes;
      heldBytes.addAndGet(textBytes);
      RequestMemory memory = new RequestMemory(this, receivingBytes);
      receivingBytes = 0;
      return memory;
    }

    /** Gives back what no request that has started needs; called when the connection has closed. */
    synchronized void close() {
      closed = true;
      heldBytes.addAndGet(-waitingBytes);
      waitingBytes = 0;
    }

    private synchronized void requestStarted(long bytes) {
      releaseWaiting(bytes);
      startedBytes += bytes;
      heldBytes.addAndGet(bytes);
    }

    private synchronized void releaseWaiting(long bytes) {
      if (!closed) {
        waitingBytes -= bytes;
        heldBytes.addAndGet(-bytes);
      }
    }

    private synchronized void releaseStarted(long bytes) {
      startedBytes -= bytes;
      heldBytes.addAndGet(-bytes);
    }
  }

  /** The memory of one request. Used by the event loop's thread only. */
  static final class RequestMemory {

    private enum State {
      WAITING,
      STARTED,
      RELEASED
    }

    private final Account account;
    private final long bytes;
    private State state = State.WAITING;

    private RequestMemory(Account account, long bytes) {
      this.account = account;
      this.bytes = bytes;
    }

    /** Keeps the memory until {@link #release}, even if the connection closes earlier. */
    void start() {
      if (state == State.WAITING) {
        account.requestStarted(bytes);
        state = State.STARTED;
      }
    }

    /** Gives the memory back; does nothing if it was given back before. */
    void release() {
      if (state == State.WAITING) {
        account.releaseWaiting(bytes);
      } else if (state == State.STARTED) {
        account.releaseStarted(bytes);
      }
      state = State.RELEASED;
    }
  }
}
