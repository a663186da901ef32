package weldcross.consensus;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * Who is a member, as a majority of the voters has it. Views are numbered without gaps; there is
 * one of each number.
 *
 * @param number zero for the one before any was agreed
 * @param members by name; never changed
 */
public record MembershipView(long number, Map<PeerName, Member> members) {

  public static final MembershipView NONE = new MembershipView(0, Map.of());

  public MembershipView {
    members = Collections.unmodifiableMap(new TreeMap<>(members));
  }

  public boolean has(PeerName name, long life) {
    Member member = members.get(name);
    return member != null && member.life() == life;
  }

  /** Of all members, in thousandths of one gateway's whole; may be any number. */
  public long parts() {
    return members.values().stream().mapToLong(Member::part).sum();
  }

  /**
   * Who answers for what a lost member leaves behind: the next member after it in the order of
   * names, the first after the last; by this view one alone.
   *
   * @return null where there is nobody else
   */
  public PeerName ownerAfter(PeerName lost) {
    PeerName first = null;
    for (PeerName each : members.keySet()) {
      if (!each.equals(lost)) {
        if (each.compareTo(lost) > 0) {
          return each;
        }
        first = first == null ? each : first;
      }
    }
    return first;
  }
}
