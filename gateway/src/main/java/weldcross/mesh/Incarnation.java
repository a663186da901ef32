package weldcross.mesh;

/**
 * Identifies one process of a gateway among all that the gateway ever had.
 *
 * @param number from 1; higher than that of any earlier process whose records were kept
 * @param nonce drawn at random by each process, so that two under one number are told apart: the
 *     records of the later one were lost
 */
public record Incarnation(long number, long nonce) {}
