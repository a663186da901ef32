package weldcross.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/** The latest update held of each other member, by name. */
final class MemberTable {

  private final Map<PeerName, MembershipUpdate> updates = new TreeMap<>();

  /** Configured peers of which no update has come. */
  private final Set<PeerName> unknown;

  MemberTable(Collection<PeerName> configuredPeers) {
    unknown = new HashSet<>(configuredPeers);
  }

  Optional<MembershipUpdate> find(PeerName name) {
    return Optional.ofNullable(updates.get(name));
  }

  void put(MembershipUpdate update) {
    updates.put(update.member(), update);
    unknown.remove(update.member());
  }

  MemberState stateOf(PeerName name) {
    return find(name).map(MembershipUpdate::state).orElse(MemberState.UNKNOWN);
  }

  /** All members heard of, ordered by name. */
  List<MembershipUpdate> heardOf() {
    return List.copyOf(updates.values());
  }

  int heardOfCount() {
    return updates.size();
  }

  int unknownCount() {
    return unknown.size();
  }

  /** The names of all members that were configured or heard of, ordered by name. */
  List<PeerName> names() {
    List<PeerName> names = new ArrayList<>(unknown);
    names.addAll(updates.keySet());
    names.sort(null);
    return names;
  }

  /** The names of all reachable members, ordered by name; the list is the caller's. */
  List<PeerName> reachable() {
    List<PeerName> names = new ArrayList<>();
    for (MembershipUpdate update : updates.values()) {
      if (update.state().isReachable()) {
        names.add(update.member());
      }
    }
    return names;
  }

  Map<MemberState, Integer> countByState() {
    Map<MemberState, Integer> counts = new TreeMap<>();
    updates.values().forEach(update -> counts.merge(update.state(), 1, Integer::sum));
    return counts;
  }
}
