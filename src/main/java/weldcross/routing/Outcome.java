package weldcross.routing;

/** How a call-out or a probe ended. */
public enum Outcome {
    OK(false), ERROR(false), NO_ROOM(true), TIMED_OUT(false), NO_ROUTE(true), CUT(false), CANCELLED(false),
    NOT_SENT(true), MISS(true);

    /** Whether it proves that nothing ran. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
