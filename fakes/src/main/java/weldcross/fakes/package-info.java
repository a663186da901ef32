/**
 * Fake external systems for tests and chaos runs, written from the published protocols: servers for
 * PostgreSQL protocol v3, and discovery over HTTP/1.1. This package imports nothing from the
 * gateway, so that an error in the gateway's protocol code is not repeated here.
 */
package weldcross.fakes;
