/**
 * The sockets of the mesh on Apache MINA, its frames as Protocol Buffers, and the record log that
 * keeps this gateway's incarnation.
 */
package weldcross.mesh.net;
