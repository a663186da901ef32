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

/** The latest update about each other member, by name. */
final class MemberTable {

  private final Map<PeerName, MembershipUpdate> updates = new TreeMap<>();

  /** Configured peers about which no update was received. */
  private final Set<PeerName> unknownPeers;

  MemberTable(Collection<PeerName> configuredPeers) {
    unknownPeers = new HashSet<>(configuredPeers);
  }

  Optional<MembershipUpdate> find(PeerName name) {
    return Optional.ofNullable(updates.get(name));
  }

  void put(MembershipUpdate update) {
    updates.put(update.member(), update);
    unknownPeers.remove(update.member());
  }

  MemberState stateOf(PeerName name) {
    return find(name).map(MembershipUpdate::state).orElse(MemberState.UNKNOWN);
  }

  /** Returns the latest update about each known member, ordered by name. */
  List<MembershipUpdate> known() {
    return List.copyOf(updates.values());
  }

  int knownCount() {
    return updates.size();
  }

  int unknownCount() {
    return unknownPeers.size();
  }

  /** Returns the names of all configured and known members, in order. */
  List<PeerName> names() {
    List<PeerName> names = new ArrayList<>(unknownPeers);
    names.addAll(updates.keySet());
    names.sort(null);
    return names;
  }

  /** Returns the names of all reachable members, in order, as a new modifiable list. */
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
