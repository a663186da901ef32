package weldcross.mesh;

/**
 * One life of a gateway's process.
 *
 * @param incarnation from 1; higher than that of any earlier life whose records were kept
 * @param mark drawn anew by each life, so that two lives under one incarnation are told apart: the
 *     later one lost what it had kept
 */
public record Incarnation(long incarnation, long mark) {}
