/**
 * The interface between a gateway and its extensions, such as the mesh, membership and consensus.
 */
package weldcross.extension;
