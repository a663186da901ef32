package weldcross.consensus;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * A numbered set of members as committed by a majority of the voters. Numbers have no gaps, and
 * there is one view of each number.
 *
 * @param number from 1; zero for {@link #NONE}
 * @param members by name; unmodifiable
 */
public record MembershipView(long number, Map<PeerName, Member> members) {

  /** The view before any was committed: number zero, no members. */
  public static final MembershipView NONE = new MembershipView(0, Map.of());

  /** Copies the members, ordered by name. */
  public MembershipView {
    members = Collections.unmodifiableMap(new TreeMap<>(members));
  }

  /** Whether this incarnation of the name is a member. */
  public boolean contains(PeerName name, long incarnation) {
    Member member = members.get(name);
    return member != null && member.incarnation() == incarnation;
  }

  /** Sum of all members' traffic weights, in thousandths. */
  public long totalWeight() {
    return members.values().stream().mapToLong(Member::weight).sum();
  }

  /**
   * The one member that takes over the duties of a lost one: the next in the order of names, and
   * the first after the last.
   *
   * @return empty where there is no other member
   */
  public Optional<PeerName> successorOf(PeerName lost) {
    PeerName first = null;
    for (PeerName each : members.keySet()) {
      if (!each.equals(lost)) {
        if (each.compareTo(lost) > 0) {
          return Optional.of(each);
        }
        first = first == null ? each : first;
      }
    }
    return Optional.ofNullable(first);
  }
}
