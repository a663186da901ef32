/**
 * The Raft voter of a gateway: the Raft library (MicroRaft) with its storage, its messages and the
 * recovery of a restarted voter.
 *
 * <p>All code of this package runs on the voter's dedicated executor thread, which may block on
 * storage; all side effects go through {@link weldcross.consensus.raft.RaftVoterActions}. The
 * codecs convert the protobuf messages of {@code consensus.proto} to and from the library's types.
 */
package weldcross.consensus.raft;
