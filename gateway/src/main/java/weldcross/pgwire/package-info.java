/**
 * The part of PostgreSQL's protocol, version 3.0, that a gateway speaks: the start of a session and
 * simple queries, towards clients and towards servers. Decoders take a stream in pieces of any size
 * and call a sink with complete messages; values stay in the buffers in which they were read.
 */
package weldcross.pgwire;
