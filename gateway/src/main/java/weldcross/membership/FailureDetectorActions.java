package weldcross.membership;

import java.time.Duration;
import java.util.List;
import weldcross.mesh.PeerName;

/**
 * Side effects requested by a {@link FailureDetector}. Messages may be lost, delayed or duplicated;
 * no method blocks.
 */
public interface FailureDetectorActions {

  /** Sends a ping, to be acked under the same sequence number. */
  void sendPing(PeerName to, long sequence, List<MembershipUpdate> updates);

  /**
   * Asks a relay to ping the target on behalf of this gateway; the relay responds with an ack or
   * nack under the same sequence number.
   */
  void sendPingRequest(
      PeerName relay, PeerName target, long sequence, List<MembershipUpdate> updates);

  /** Acks a ping, or reports to a requester that the target of its ping request responded. */
  void sendAck(PeerName to, long sequence, List<MembershipUpdate> updates);

  /** Reports to a requester that the target of its ping request did not respond in time. */
  void sendNack(PeerName to, long sequence);

  /** Notifies of every state change of another member, including to {@code SUSPECT}. */
  void memberChanged(MembershipUpdate update);

  /**
   * Notifies that other members consider this gateway's incarnation dead, which only a higher
   * incarnation can refute.
   *
   * @param incarnation the incarnation declared dead, or a later one known to other members
   */
  void declaredDead(long incarnation);

  /** Schedules a call of {@link FailureDetector#onTimer}, replacing any earlier request. */
  void wakeAt(Duration when);
}
