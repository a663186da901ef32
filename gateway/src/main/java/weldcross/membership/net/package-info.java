/**
 * Joins the failure detector to a gateway: its messages as Protocol Buffers in datagrams of the
 * mesh.
 */
package weldcross.membership.net;
