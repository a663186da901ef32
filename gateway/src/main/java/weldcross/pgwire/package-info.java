/**
 * The part of the PostgreSQL wire protocol, version 3.0, that a gateway implements: session startup
 * and simple queries, for both clients and servers. Decoders accept a stream in fragments of any
 * size and pass complete messages to a sink; values stay in the buffers in which they were read.
 */
package weldcross.pgwire;
