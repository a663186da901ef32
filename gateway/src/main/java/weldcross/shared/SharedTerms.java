package weldcross.shared;

import java.time.Duration;

/**
 * How knowledge is shared.
 *
 * @param markWithin how long an answered write waits for its mark to be in the store; zero: not at
 *     all
 * @param findWithin how long a session's read waits for what the session wrote elsewhere; positive
 * @param refreshEvery how often what others saw of servers is fetched; positive
 * @param publishAfter how much further on than the store a server's position must be to be
 *     published; positive
 * @param marksKept how long a session's mark is kept, here and in the store; positive
 * @param mostMarks kept here at a time; at least 1
 * @param mostAsks out at the store at a time; at least 8
 * @param refillPerSecond marks put again in a second once a store is back; at least 1
 */
public record SharedTerms(
    String gateway,
    Duration markWithin,
    Duration findWithin,
    Duration refreshEvery,
    Duration publishAfter,
    Duration marksKept,
    int mostMarks,
    int mostAsks,
    int refillPerSecond) {}
