package weldcross.membership;

import java.time.Duration;
import java.util.List;
import weldcross.mesh.PeerName;

/**
 * The effects of a {@link FailureDetector}. Messages may be lost, delayed and repeated; none of the
 * calls waits.
 */
public interface FailureDetectorActions {

  /** Asks a member for an ack with the same sequence number. */
  void sendPing(PeerName to, long sequence, List<MembershipUpdate> updates);

  /**
   * Asks a helper to ping the target for this gateway; its ack or nack comes back under the same
   * sequence number.
   */
  void sendPingRequest(
      PeerName helper, PeerName target, long sequence, List<MembershipUpdate> updates);

  /** Answers a ping, or tells an asker that the target of its ping request answered. */
  void sendAck(PeerName to, long sequence, List<MembershipUpdate> updates);

  /** Tells an asker that the target of its ping request did not answer in time. */
  void sendNack(PeerName to, long sequence);

  /** Called whenever the state held of another member changed, {@code SUSPECT} included. */
  void memberChanged(MembershipUpdate update);

  /**
   * Others hold this gateway's incarnation for dead, which only a higher incarnation refutes.
   *
   * @param incarnation the one held for dead, or a later one that others know of
   */
  void declaredDead(long incarnation);

  /** Asks for a call of {@link FailureDetector#onTimer} then; only the last request counts. */
  void wakeAt(Duration when);
}
