/**
 * Decisions and helpers for connections of any kind: which client to evict, how long a pooled
 * connection may be idle, and connecting with reliable cancellation. The two decision classes do no
 * I/O.
 */
package weldcross.connections;
