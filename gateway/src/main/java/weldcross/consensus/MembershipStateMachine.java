package weldcross.consensus;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * Applies committed proposals to the membership view.
 *
 * <p>Deterministic: applying the same proposals in the same order yields the same view on every
 * voter, so agreement on the log is agreement on the view. Performs no I/O.
 */
public final class MembershipStateMachine {

  private MembershipView view = MembershipView.NONE;

  /** The highest ended incarnation of each name; delayed proposals cannot make it join again. */
  private final TreeMap<PeerName, Long> endedIncarnations = new TreeMap<>();

  /** Returns the current view. */
  public MembershipView view() {
    return view;
  }

  /** Returns the highest ended incarnation of each name, as a live unmodifiable map. */
  public Map<PeerName, Long> endedIncarnations() {
    return Collections.unmodifiableMap(endedIncarnations);
  }

  /**
   * Replaces the entire state with that of a snapshot.
   *
   * @param snapshotView view of the snapshot
   * @param snapshotEndedIncarnations highest ended incarnation of each name in the snapshot
   */
  public void restore(MembershipView snapshotView, Map<PeerName, Long> snapshotEndedIncarnations) {
    view = snapshotView;
    endedIncarnations.clear();
    endedIncarnations.putAll(snapshotEndedIncarnations);
  }

  /** Applies a committed proposal; the view changes only if the result is {@code APPLIED}. */
  public ProposalResult apply(Proposal proposal) {
    return switch (proposal.kind()) {
      case JOIN -> join(proposal);
      case LEAVE, DEAD -> endIncarnation(proposal);
      case FORGET -> forget(proposal);
      case NO_OP -> ProposalResult.UNCHANGED;
    };
  }

  private ProposalResult join(Proposal proposal) {
    PeerName name = proposal.member();
    Member current = view.members().get(name);
    Member next = new Member(name, proposal.incarnation(), proposal.zone(), proposal.weight());
    if (next.equals(current)) {
      return ProposalResult.UNCHANGED;
    }
    if (hasEnded(proposal) || (current != null && proposal.incarnation() < current.incarnation())) {
      return ProposalResult.INCARNATION_ENDED;
    }
    if (current != null && current.incarnation() < proposal.incarnation()) {
      endedIncarnations.put(name, current.incarnation());
    }
    replace(name, next);
    return ProposalResult.APPLIED;
  }

  private ProposalResult endIncarnation(Proposal proposal) {
    Member current = view.members().get(proposal.member());
    if (current != null) {
      if (current.incarnation() > proposal.incarnation()) {
        return ProposalResult.INCARNATION_ENDED;
      }
      remove(current);
      return ProposalResult.APPLIED;
    }
    return hasEnded(proposal) ? ProposalResult.UNCHANGED : ProposalResult.UNKNOWN_MEMBER;
  }

  private ProposalResult forget(Proposal proposal) {
    if (proposal.expectedViewNumber() != view.number()) {
      return ProposalResult.STALE_VIEW;
    }
    Member current = view.members().get(proposal.member());
    if (current == null) {
      return ProposalResult.UNKNOWN_MEMBER;
    }
    remove(current);
    return ProposalResult.APPLIED;
  }

  private boolean hasEnded(Proposal proposal) {
    return proposal.incarnation() <= endedIncarnations.getOrDefault(proposal.member(), 0L);
  }

  private void remove(Member member) {
    endedIncarnations.merge(member.name(), member.incarnation(), Math::max);
    replace(member.name(), null);
  }

  /** Creates the next view; a null {@code next} removes the member. */
  private void replace(PeerName name, Member next) {
    TreeMap<PeerName, Member> members = new TreeMap<>(view.members());
    if (next == null) {
      members.remove(name);
    } else {
      members.put(name, next);
    }
    view = new MembershipView(view.number() + 1, members);
  }
}
