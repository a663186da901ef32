package weldcross.routing;

import java.time.Duration;

/**
 * The result of one attempt, see {@link Router#attemptEnded}. Times and positions are relative to
 * the start of the router.
 *
 * @param request the request that was attempted
 * @param attemptNumber the zero-based number of the attempt among the attempts of the request
 * @param outcome how the attempt ended; not null
 * @param elapsed the time since the attempt was sent; not null
 * @param aliveSince the earliest time at which the answering server process is known to have been
 *     running; null if none answered
 * @param primary whether the server reported itself as the primary; null if it did not report its
 *     role
 * @param position the replication position of the server, or the commit position of the write; null
 *     if not reported
 * @param requestAnswered whether the client has received its final answer, from this attempt or an
 *     earlier one
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
