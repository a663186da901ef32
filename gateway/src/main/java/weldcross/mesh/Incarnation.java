package weldcross.mesh;

/**
 * Identifies one process among all successive processes of a gateway.
 *
 * @param number starts at 1; higher than that of any earlier process whose stored incarnation was
 *     not lost
 * @param nonce random per process; distinguishes two processes with the same number, which occur
 *     when the stored incarnation was lost
 */
public record Incarnation(long number, long nonce) {}
