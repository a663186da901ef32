/**
 * Support for reading the endpoint list from discovery: a decoder for HTTP responses, the entries
 * of a list, and the lease during which a list may be used. No class of this package does I/O.
 */
package weldcross.discovery;
