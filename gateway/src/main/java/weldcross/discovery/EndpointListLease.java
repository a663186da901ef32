package weldcross.discovery;

import java.time.Duration;

/**
 * How long a server list may be acted on after discovery last spoke, and how it is asked. A drain
 * that was never told binds all the same: what discovery has counts as told at the latest some time
 * after the call that should have brought it, and at once where no call is open and an agent beside
 * the gateway has it. So long, and for the time in which sends must end, the list held is sure to
 * hold all that binds; then no server is known to want anything. Decides only; {@code
 * weldcross.gateway.DiscoveryWatcher} calls it.
 *
 * <p>A list on request comes from one service that all gateways share, at which calls wait in line
 * and are refused where the line is long: a call given up early, or asked for at once again, is
 * work for it that serves nobody.
 */
public final class EndpointListLease {

  /**
   * What discovery has, and could be asked for, counts as told after this time, whatever became of
   * the calls. From the protocol, which allows more to a watch that waits longer, but not once it
   * was given up.
   */
  private static final Duration TOLD_AT_LATEST = Duration.ofSeconds(6);

  /**
   * A watch waits for this part of that time: each one is a call, but the shorter it is the longer
   * is the list known to hold all that binds once discovery goes down.
   */
  private static final int WATCH_PART = 4;

  /**
   * So much longer than it waits for news a call may take, as others are before it. From the
   * protocol.
   */
  private static final Duration MOST_IN_LINE = Duration.ofSeconds(2);

  /** Calls that fail lie at most so many connect timeouts apart. */
  private static final int MOST_REST = 8;

  /**
   * What an address has that discovery moved to counts as told so long after the move. From the
   * protocol.
   */
  private static final Duration AFTER_MOVE = Duration.ofSeconds(4);

  /** A call that comes later than this after the last answer is a new watch. From the protocol. */
  private static final Duration SAME_WATCH = Duration.ofMillis(200);

  private final Duration stopSending;
  private final boolean onRequest;
  private Duration end, lastWord, endByWord;

  /** Whether the list stands by its last word, as discovery was found to say nothing. */
  private boolean byWord;

  /** Until when the new address has to speak; null where discovery is not on the move. */
  private Duration moveEnds;

  /**
   * @param stopSending within this time after a drain was told sends to its server end; not
   *     negative
   * @param onRequest whether discovery is one service for all, of which the list has to be asked
   */
  public EndpointListLease(Duration stopSending, boolean onRequest) {
    this.stopSending = stopSending;
    this.onRequest = onRequest;
  }

  /**
   * How long a watch may wait for news. Where calls cost nothing so short that one that fell silent
   * is found, and the list asked for anew, well before what it missed counts as told; where all
   * gateways share what answers them no longer than the service allows between two calls, as what a
   * silent one missed counts only when its wait is over.
   *
   * @param maxPollInterval how long a gateway without a watch may go without asking
   */
  public static Duration watch(Duration maxPollInterval, boolean onRequest) {
    Duration part = TOLD_AT_LATEST.dividedBy(WATCH_PART), most = maxPollInterval.dividedBy(2);
    return onRequest ? maxPollInterval : part.compareTo(most) < 0 ? part : most;
  }

  /** How long an answer may take beyond what its call waits for, before that is given up. */
  public static Duration patience(Duration grace, boolean onRequest) {
    return onRequest ? MOST_IN_LINE.plus(grace) : grace;
  }

  /**
   * How long nothing is asked after calls that failed: ever longer where all gateways ask the same
   * service, and not for all alike, or those that were refused together come again together.
   *
   * @param failures how many failed in a row, at least one
   * @param silent whether the last one was given up, and so took its time
   * @param luck in [0, 1), a gateway's own
   */
  public Duration rest(int failures, boolean silent, Duration connectTimeout, double luck) {
    if (!onRequest) {
      return silent ? Duration.ZERO : connectTimeout;
    }
    long times = Math.min(MOST_REST, 1L << Math.min(failures, Integer.SIZE));
    return Duration.ofNanos((long) (connectTimeout.toNanos() * times * (1 + luck) / 2));
  }

  /**
   * Discovery spoke, and a call is written to it in this same moment.
   *
   * @param waits how long that call may wait for news
   */
  public void spoke(Duration now, Duration waits) {
    Duration silent = waits.plus(MOST_IN_LINE);
    lastWord = now;
    endByWord =
        now.plus(silent.compareTo(TOLD_AT_LATEST) > 0 ? silent : TOLD_AT_LATEST).plus(stopSending);
    end = endByWord;
    byWord = false;
  }

  /**
   * Some of an answer has come: there is something to be told, which binds from now on even if the
   * rest never comes.
   */
  public void begun(Duration now) {
    Duration lapses = now.plus(stopSending);
    if (endByWord != null && lapses.compareTo(endByWord) < 0) {
      endByWord = lapses;
      end = byWord ? lapses : end;
    }
  }

  /**
   * A call that an agent beside the gateway answers at once, if it has any list, was written some
   * time ago, all that has come in since was read, and there was nothing: discovery is down, learns
   * nothing and has nothing that it could have told. Only a watch that had fallen silent before may
   * have missed what it had before, so the list stands as long as what such a one missed cannot
   * count: as after the last word. Where the list has lapsed, as no call could be made, the agent
   * may have had news in between.
   */
  public void nothingCame(Duration now) {
    if (!onRequest && stands(now)) {
      end = endByWord;
      byWord = true;
    }
  }

  /**
   * There was no call open on which discovery could speak. On request what it had before may have
   * been missed as well, by a call that was silent before it ended: the time of its last word
   * counts then, and what a watch is allowed that waits no more.
   *
   * @param since from when; it speaks, or this holds for good
   */
  public void unheard(Duration since) {
    Duration lapses =
        onRequest && lastWord != null
            ? lastWord.plus(TOLD_AT_LATEST).plus(stopSending)
            : since.plus(stopSending);
    if (end != null && lapses.compareTo(end) < 0) {
      end = lapses;
      byWord = false;
    }
  }

  /**
   * Discovery is at another address from now on, which has not spoken yet; the one before may go on
   * to speak.
   */
  public void moved(Duration now) {
    moveEnds = now.plus(AFTER_MOVE).plus(stopSending);
  }

  /** The address that it moved to has spoken, or is the one before after all. */
  public void arrived() {
    moveEnds = null;
  }

  /**
   * Whether a call made so long after the last answer begins a new watch, before which changes may
   * be missed.
   */
  public static boolean isNewWatch(Duration sinceAnswer) {
    return sinceAnswer.compareTo(SAME_WATCH) > 0;
  }

  /** Whether the list held is sure to hold all that binds now. */
  public boolean stands(Duration now) {
    return end != null && now.compareTo(end()) < 0;
  }

  /**
   * When that ends if discovery does not speak; null where it never has, as before a process's
   * first list.
   */
  public Duration end() {
    return end == null || moveEnds == null || end.compareTo(moveEnds) < 0 ? end : moveEnds;
  }
}
