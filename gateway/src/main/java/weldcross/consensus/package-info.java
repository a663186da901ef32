/**
 * Consensus on the membership view: which gateways are members, with which incarnation and traffic
 * weight, as committed by a majority of a small set of voters.
 *
 * <p>The classes of this package perform no I/O, read no clock and start no threads. {@link
 * weldcross.consensus.MembershipStateMachine} applies committed proposals, {@link
 * weldcross.consensus.MembershipViewClient} tracks the view on each gateway, and {@link
 * weldcross.consensus.VoterRecovery} decides whether a restarted voter may vote. The {@code raft}
 * package holds the Raft library and its storage, the {@code net} package the adapters to the mesh
 * and the event loop. See {@code docs/consensus.md}.
 */
package weldcross.consensus;
