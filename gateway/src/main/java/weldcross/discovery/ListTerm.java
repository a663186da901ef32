package weldcross.discovery;

import java.time.Duration;

/**
 * How long a server list may be acted on after discovery last spoke. A drain that was never told binds all
 * the same: what discovery has counts as told at the latest some time after the call that should have
 * brought it, and at once where no call is open. So long, and for the time in which sends must end, the
 * list held is sure to hold all that binds; then no server is known to want anything. Decides only;
 * {@code weldcross.gateway.ListWatch} calls it.
 */
public final class ListTerm {

    /**
     * What discovery has, and could be asked for, counts as told after this time, whatever became of the calls.
     * From the protocol, which allows more to a watch that waits longer, but not once it was given up.
     */
    private static final Duration TOLD_AT_LATEST = Duration.ofSeconds(6);
    /** Of that time a watch leaves so much, in graces, to find that it was silent and to ask anew. */
    private static final int GRACES_LEFT = 2;
    /** A watch waits for this part of that time at least, as each one is a call. */
    private static final int LEAST_PART = 4;
    /** A call that comes later than this after the last answer is a new watch. From the protocol. */
    private static final Duration SAME_WATCH = Duration.ofMillis(200);

    private final Duration stopSending;
    private Duration end;

    /** @param stopSending within this time after a drain was told sends to its server end; not negative */
    public ListTerm(Duration stopSending) {
        this.stopSending = stopSending;
    }

    /**
     * How long a watch may wait for news, so that one that fell silent is found, and the list asked for anew,
     * before what it missed counts as told.
     *
     * @param most what the service allows
     * @param grace how long an answer may take beyond what it waits for, and a dial at most
     */
    public static Duration watch(Duration most, Duration grace) {
        Duration least = TOLD_AT_LATEST.dividedBy(LEAST_PART);
        Duration safe = TOLD_AT_LATEST.minus(grace.multipliedBy(GRACES_LEFT));
        Duration watch = safe.compareTo(least) > 0 ? safe : least;
        return watch.compareTo(most) < 0 ? watch : most;
    }

    /** Discovery spoke, and a call is written to it in this same moment. */
    public void spoke(Duration now) {
        end = now.plus(TOLD_AT_LATEST).plus(stopSending);
    }

    /**
     * There was no call open on which discovery could speak.
     *
     * @param since from when; it speaks, or this holds for good
     */
    public void unheard(Duration since) {
        if (end != null && since.plus(stopSending).compareTo(end) < 0) {
            end = since.plus(stopSending);
        }
    }

    /**
     * Whether a call made so long after the last answer begins a new watch, before which changes may be
     * missed.
     */
    public static boolean isNewWatch(Duration sinceAnswer) {
        return sinceAnswer.compareTo(SAME_WATCH) > 0;
    }

    /** Whether the list held is sure to hold all that binds now. */
    public boolean stands(Duration now) {
        return end != null && now.compareTo(end) < 0;
    }

    /**
     * When that ends if discovery does not speak; null where it never has, as before a process's first list.
     */
    public Duration end() {
        return end;
    }
}
