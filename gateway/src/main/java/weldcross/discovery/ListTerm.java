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
     * What a call that may wait should have brought counts as told so long after its wait. From the protocol.
     */
    private static final Duration TOLD_AFTER_WAIT = Duration.ofSeconds(2);
    /** A call that comes later than this after the last answer is a new watch. From the protocol. */
    private static final Duration SAME_WATCH = Duration.ofMillis(200);

    private final Duration stopSending;
    private Duration end;

    /** @param stopSending within this time after a drain was told sends to its server end; not negative */
    public ListTerm(Duration stopSending) {
        this.stopSending = stopSending;
    }

    /**
     * Discovery spoke, and a call is written to it in this same moment.
     *
     * @param waits how long that call waits for news
     */
    public void spoke(Duration now, Duration waits) {
        end = now.plus(waits).plus(TOLD_AFTER_WAIT).plus(stopSending);
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
