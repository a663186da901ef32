package weldcross.consensus;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * The view in force and how motions change it: the same motions in the same order give the same
 * view everywhere, so that agreement on the order is agreement on the view. Used by each voter,
 * which gives it what the consensus has committed. Pure.
 */
public final class MembershipStateMachine {

  private MembershipView view = MembershipView.NONE;

  /** The last life of each name that has ended: no late word makes it a member again. */
  private final TreeMap<PeerName, Long> ended = new TreeMap<>();

  public MembershipView view() {
    return view;
  }

  public Map<PeerName, Long> ended() {
    return Collections.unmodifiableMap(ended);
  }

  /** From a snapshot; what was before is gone. */
  public void restore(MembershipView kept, Map<PeerName, Long> keptEnded) {
    view = kept;
    ended.clear();
    ended.putAll(keptEnded);
  }

  public ProposalResult apply(Proposal motion) {
    PeerName name = motion.of();
    Member member = view.members().get(name);
    switch (motion.kind()) {
      case JOIN -> {
        Member next = new Member(name, motion.life(), motion.zone(), motion.part());
        if (next.equals(member)) {
          return ProposalResult.SAME;
        }
        if (motion.life() <= ended.getOrDefault(name, 0L)
            || (member != null && motion.life() < member.life())) {
          return ProposalResult.ENDED;
        }
        if (member != null && member.life() < motion.life()) {
          ended.put(name, member.life());
        }
        change(name, next);
        return ProposalResult.DONE;
      }
      case LEAVE, GONE -> {
        if (member != null && member.life() <= motion.life()) {
          end(member);
          return ProposalResult.DONE;
        }
        return member == null && motion.life() <= ended.getOrDefault(name, 0L)
            ? ProposalResult.SAME
            : member == null ? ProposalResult.UNKNOWN : ProposalResult.ENDED;
      }
      case FORGET -> {
        if (motion.basis() != view.number()) {
          return ProposalResult.CHANGED;
        }
        if (member == null) {
          return ProposalResult.UNKNOWN;
        }
        end(member);
        return ProposalResult.DONE;
      }
      default -> {
        return ProposalResult.SAME;
      }
    }
  }

  private void end(Member member) {
    ended.merge(member.name(), member.life(), Math::max);
    change(member.name(), null);
  }

  private void change(PeerName name, Member next) {
    TreeMap<PeerName, Member> members = new TreeMap<>(view.members());
    if (next == null) {
      members.remove(name);
    } else {
      members.put(name, next);
    }
    view = new MembershipView(view.number() + 1, members);
  }
}
