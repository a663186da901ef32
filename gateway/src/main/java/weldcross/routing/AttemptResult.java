package weldcross.routing;

import java.time.Duration;

/**
 * How one attempt ended, see {@link Router#attemptEnded}. Times and positions count from the start
 * of the router.
 *
 * @param request the request it was sent for
 * @param attemptNumber counts the attempts of the request from zero
 * @param outcome how it ended; not null
 * @param elapsed the time since it was sent; not null
 * @param aliveSince since when at least the process that answered runs; null if none answered
 * @param primary whether the server said it is the primary; null where it did not say
 * @param position up to where the server's data goes, or where the write was committed; null where
 *     it did not say
 * @param requestAnswered whether the client has its final answer, by this attempt or an earlier one
 */
public record AttemptResult(
    RequestId request,
    int attemptNumber,
    AttemptOutcome outcome,
    Duration elapsed,
    Duration aliveSince,
    Boolean primary,
    Duration position,
    boolean requestAnswered) {}
