package weldcross.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldcross.mesh.PeerName;

/** Updates that are still to be passed on, the latest of each member, with their deliveries. */
final class UpdateQueue {

  private static final class PendingUpdate {
    final MembershipUpdate update;
    int deliveries;

    PendingUpdate(MembershipUpdate update) {
      this.update = update;
    }

    int deliveries() {
      return deliveries;
    }
  }

  private final Map<PeerName, PendingUpdate> pending = new LinkedHashMap<>();

  /** Replaces what was pending about the same member. */
  void add(MembershipUpdate update) {
    pending.put(update.member(), new PendingUpdate(update));
  }

  /**
   * Fills a message up with the updates of the fewest deliveries; those about the receiver are left
   * out.
   */
  void fill(List<MembershipUpdate> message, PeerName receiver, int maxUpdates) {
    List<PendingUpdate> fewestFirst = new ArrayList<>(pending.values());
    fewestFirst.sort(Comparator.comparingInt(PendingUpdate::deliveries));
    for (PendingUpdate each : fewestFirst) {
      if (message.size() >= maxUpdates) {
        return;
      }
      if (!each.update.member().equals(receiver)) {
        message.add(each.update);
      }
    }
  }

  /**
   * Counts the updates as delivered to a gateway that answered, and removes those that were
   * delivered often enough. What is sent to the dead spreads no further and must not be counted.
   */
  void delivered(List<MembershipUpdate> updates, int maxDeliveries) {
    for (MembershipUpdate update : updates) {
      PendingUpdate match = pending.get(update.member());
      if (match != null && match.update.equals(update) && ++match.deliveries >= maxDeliveries) {
        pending.remove(update.member());
      }
    }
  }

  int size() {
    return pending.size();
  }
}
