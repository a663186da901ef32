/**
 * A gateway that routes reads and writes to the servers of a replicated PostgreSQL-like store. This
 * package contains the entry point; {@code docs/architecture.md} describes the other packages.
 */
package weldcross;
