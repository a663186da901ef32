package weldcross.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldcross.mesh.PeerName;

/** Updates still to be gossiped, the latest about each member, with their delivery counts. */
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

  /** Adds an update, replacing a pending one about the same member. */
  void add(MembershipUpdate update) {
    pending.put(update.member(), new PendingUpdate(update));
  }

  /**
   * Fills a message with the updates that have the fewest deliveries, excluding those about the
   * receiver.
   */
  void fill(List<MembershipUpdate> message, PeerName receiver, int maxUpdates) {
    List<PendingUpdate> fewestFirst = new ArrayList<>(pending.values());
    fewestFirst.sort(Comparator.comparingInt(PendingUpdate::deliveries));
    for (PendingUpdate candidate : fewestFirst) {
      if (message.size() >= maxUpdates) {
        return;
      }
      if (!candidate.update.member().equals(receiver)) {
        message.add(candidate.update);
      }
    }
  }

  /**
   * Counts a delivery of each update to a gateway that responded, and removes updates that reached
   * the maximum. Messages to dead members spread no further and must not be counted.
   */
  void recordDelivery(List<MembershipUpdate> updates, int maxDeliveries) {
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
