/**
 * Connects the failure detector to a gateway: messages are encoded as Protocol Buffers and sent as
 * datagrams over the mesh.
 */
package weldcross.membership.net;
