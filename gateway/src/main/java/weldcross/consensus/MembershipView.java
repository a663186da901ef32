package weldcross.consensus;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * A numbered set of members, committed by a majority of the voters. View numbers are contiguous and
 * unique.
 *
 * @param number view number, starting at 1; zero for {@link #NONE}
 * @param members members by name; unmodifiable
 */
public record MembershipView(long number, Map<PeerName, Member> members) {

  /** The view before the first commit: number zero, no members. */
  public static final MembershipView NONE = new MembershipView(0, Map.of());

  /** Creates a view with a copy of the members, sorted by name. */
  public MembershipView {
    members = Collections.unmodifiableMap(new TreeMap<>(members));
  }

  /** Returns whether this incarnation of the gateway is a member. */
  public boolean contains(PeerName name, long incarnation) {
    Member member = members.get(name);
    return member != null && member.incarnation() == incarnation;
  }

  /** Returns the sum of all members' traffic weights, in thousandths. */
  public long totalWeight() {
    return members.values().stream().mapToLong(Member::weight).sum();
  }

  /**
   * Returns the member that takes over the duties of a lost one: the next by name, wrapping around
   * from the last to the first.
   *
   * @return empty if there is no other member
   */
  public Optional<PeerName> successorOf(PeerName lost) {
    PeerName first = null;
    for (PeerName name : members.keySet()) {
      if (!name.equals(lost)) {
        if (name.compareTo(lost) > 0) {
          return Optional.of(name);
        }
        first = first == null ? name : first;
      }
    }
    return Optional.ofNullable(first);
  }
}
