/**
 * Connection management between gateways: when to connect, which handshakes to accept, and from
 * which incarnation of a peer messages are accepted. Deterministic, without I/O or a clock; {@link
 * weldcross.mesh.net} implements the sockets.
 */
package weldcross.mesh;
