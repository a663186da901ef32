/**
 * Decides on the membership view: which gateways are members, in which incarnation and with which
 * traffic weight, as committed by a majority of a few voters.
 *
 * <p>The classes of this package are pure: they do no I/O, read no clock and start no threads.
 * {@link weldcross.consensus.MembershipStateMachine} applies committed proposals, {@link
 * weldcross.consensus.MembershipViewClient} follows the view on each gateway, and {@link
 * weldcross.consensus.VoterRecovery} decides whether a restarted voter may vote. The Raft library
 * and its storage are in {@code raft}, the adapters to mesh and event loop in {@code net}. See
 * {@code docs/consensus.md}.
 */
package weldcross.consensus;
