/**
 * A gateway that routes reads and writes of a replicated PostgreSQL-like store to its servers. This
 * package holds the entry point of the program; {@code docs/architecture.md} describes the others.
 */
package weldcross;
