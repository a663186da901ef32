/**
 * Components for managing connections, independent of their protocol: the choice of the client to
 * evict, an estimate of how long a pooled connection may be idle, and connecting with reliable
 * cancellation. The first two do no I/O.
 */
package weldcross.connections;
