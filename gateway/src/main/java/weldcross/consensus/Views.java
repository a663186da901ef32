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
public final class Views {

  private View view = View.NONE;

  /** The last life of each name that has ended: no late word makes it a member again. */
  private final TreeMap<PeerName, Long> ended = new TreeMap<>();

  public View view() {
    return view;
  }

  public Map<PeerName, Long> ended() {
    return Collections.unmodifiableMap(ended);
  }

  /** From a snapshot; what was before is gone. */
  public void restore(View kept, Map<PeerName, Long> keptEnded) {
    view = kept;
    ended.clear();
    ended.putAll(keptEnded);
  }

  public Verdict apply(Motion motion) {
    PeerName name = motion.of();
    Member member = view.members().get(name);
    switch (motion.kind()) {
      case JOIN -> {
        Member next = new Member(name, motion.life(), motion.zone(), motion.part());
        if (next.equals(member)) {
          return Verdict.SAME;
        }
        if (motion.life() <= ended.getOrDefault(name, 0L)
            || (member != null && motion.life() < member.life())) {
          return Verdict.ENDED;
        }
        if (member != null && member.life() < motion.life()) {
          ended.put(name, member.life());
        }
        change(name, next);
        return Verdict.DONE;
      }
      case LEAVE, GONE -> {
        if (member != null && member.life() <= motion.life()) {
          end(member);
          return Verdict.DONE;
        }
        return member == null && motion.life() <= ended.getOrDefault(name, 0L)
            ? Verdict.SAME
            : member == null ? Verdict.UNKNOWN : Verdict.ENDED;
      }
      case FORGET -> {
        if (motion.basis() != view.number()) {
          return Verdict.CHANGED;
        }
        if (member == null) {
          return Verdict.UNKNOWN;
        }
        end(member);
        return Verdict.DONE;
      }
      default -> {
        return Verdict.SAME;
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
    view = new View(view.number() + 1, members);
  }
}
