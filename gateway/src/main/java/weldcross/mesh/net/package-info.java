/**
 * Network and storage of the mesh: sockets on Apache MINA, frames encoded with Protocol Buffers,
 * and the record log that stores this gateway's incarnation.
 */
package weldcross.mesh.net;
