/**
 * Decides all about the connections between gateways: when to connect, whom to talk to, which
 * incarnation of a peer is listened to. Pure: no I/O and no clock; {@link weldcross.mesh.net} has
 * the sockets.
 */
package weldcross.mesh;
