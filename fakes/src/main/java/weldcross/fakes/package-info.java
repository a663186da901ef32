/**
 * Outside systems as this project writes them from published protocols, for tests and chaos runs:
 * servers that speak PostgreSQL's protocol v3, and discovery over HTTP/1.1. Imports nothing of the
 * gateway, so that a fault in one is not a fault in both.
 */
package weldcross.fakes;
