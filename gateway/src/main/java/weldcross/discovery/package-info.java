/**
 * What a gateway needs to read its endpoint list from discovery: HTTP responses, the entries of a
 * list, and the lease during which a list may be acted on. Nothing here does I/O.
 */
package weldcross.discovery;
