package weldcross.connections;

import java.time.Duration;

/**
 * Decides from when on a client whose input is left unread may be disconnected. TCP shows the end
 * of a connection only behind all its input, and nothing may be begun for a client that has
 * disconnected. Does no I/O and has no state.
 */
public final class UnreadInputPolicy {

  /**
   * How long input may be left unread until nothing more is begun for the client: half of the time
   * in which requests may still be begun for a client after its disconnect.
   */
  static final Duration MAX_UNREAD_TIME = Duration.ofMillis(50);

  private UnreadInputPolicy() {}

  /**
   * Returns whether the unread input of a client may hide its disconnect for too long.
   *
   * @param unreadSince since when input that may have arrived has been left unread; null if all was
   *     read
   */
  public static boolean mayHideDisconnect(Duration now, Duration unreadSince) {
    return unreadSince != null && now.minus(unreadSince).compareTo(MAX_UNREAD_TIME) > 0;
  }
}
