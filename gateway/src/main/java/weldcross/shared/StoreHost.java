package weldcross.shared;

import java.time.Duration;
import weldcross.routing.ServerId;

/**
 * What {@link Knowledge} asks for. Each ask of the store has a number and ends by one call of
 * {@link Knowledge#storeAnswered}, {@link Knowledge#storeFound}, {@link Knowledge#storeSaw} or
 * {@link Knowledge#storeFailed}, or by none at all; nothing here waits.
 */
public interface StoreHost {

  /** Puts the sighting where it is newer than what is there; kept for so long. */
  void publish(long ask, Sighting sighting, Duration kept);

  /** Puts the commit, time since 1970, where it is later than what is there; kept for so long. */
  void mark(long ask, long session, Duration commit, Duration kept);

  /** Asks for a session's latest commit. */
  void find(long ask, long session);

  /** Asks for what was seen of all servers that are listed here. */
  void see(long ask);

  /**
   * The mark of this ticket is in the store, or is no longer waited for: its RPC may be answered.
   */
  void marked(long ticket);

  /**
   * The search of this ticket is over.
   *
   * @param commit since 1970; null where the store knows none
   * @param sure whether the store answered in time; if not, nothing is known of what was written
   *     elsewhere
   */
  void found(long ticket, Duration commit, boolean sure);

  /** Some gateway saw this of the process that runs there. */
  void believe(ServerId server, Duration position, boolean primary);

  /** Asks for {@link Knowledge#dueReached} at this moment or soon after it. */
  void wakeAt(Duration when);

  /** For the log. */
  void storeIs(StoreHealth.State state, String why);
}
