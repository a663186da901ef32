/**
 * The Raft voter of a gateway: the consensus library (MicroRaft) with its storage, its messages and
 * the recovery of a voter that has been restarted.
 *
 * <p>Everything here runs on the voter's own executor thread, which may wait for storage, and calls
 * out through {@link weldcross.consensus.raft.RaftVoterActions} alone. The protobuf messages of
 * {@code consensus.proto} are mapped to and from the library's types by the codecs of this package.
 */
package weldcross.consensus.raft;
