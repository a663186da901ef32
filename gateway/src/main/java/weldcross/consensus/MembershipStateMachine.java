package weldcross.consensus;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * Applies committed proposals to the membership view.
 *
 * <p>Deterministic: the same proposals in the same order give the same view on every voter, so that
 * consensus on the order of proposals is consensus on the view. Pure.
 */
public final class MembershipStateMachine {

  private MembershipView view = MembershipView.NONE;

  /** The highest ended incarnation of each name, so that no late proposal brings it back. */
  private final TreeMap<PeerName, Long> ended = new TreeMap<>();

  /** The view in force. */
  public MembershipView view() {
    return view;
  }

  /** The highest ended incarnation of each name; an unmodifiable view of the current state. */
  public Map<PeerName, Long> ended() {
    return Collections.unmodifiableMap(ended);
  }

  /**
   * Replaces the whole state by that of a snapshot.
   *
   * @param snapshot the view of the snapshot
   * @param endedIncarnations the highest ended incarnation of each name
   */
  public void restore(MembershipView snapshot, Map<PeerName, Long> endedIncarnations) {
    view = snapshot;
    ended.clear();
    ended.putAll(endedIncarnations);
  }

  /** Applies a committed proposal; the view changes only where the result is {@code APPLIED}. */
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
      ended.put(name, current.incarnation());
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
    if (proposal.basis() != view.number()) {
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
    return proposal.incarnation() <= ended.getOrDefault(proposal.member(), 0L);
  }

  private void remove(Member member) {
    ended.merge(member.name(), member.incarnation(), Math::max);
    replace(member.name(), null);
  }

  /** Begins the next view; {@code next} is null where the member leaves it. */
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
