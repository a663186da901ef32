/**
 * The interface between a gateway and the subsystems that join it, such as the mesh, membership and
 * consensus.
 */
package weldcross.extension;
