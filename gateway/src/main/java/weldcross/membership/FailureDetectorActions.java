package weldcross.membership;

import java.time.Duration;
import java.util.List;
import weldcross.mesh.PeerName;

/** What {@link FailureDetector} can do to the world; messages may be lost, late and repeated. */
public interface FailureDetectorActions {

  void probe(PeerName to, long number, List<MembershipUpdate> news);

  /**
   * Asks another to probe for this gateway; its answer, or that there was none, comes under the
   * number.
   */
  void help(PeerName helper, PeerName target, long number, List<MembershipUpdate> news);

  void answer(PeerName to, long number, List<MembershipUpdate> news);

  /** The target that was to be probed for that gateway did not answer in time. */
  void noAnswer(PeerName to, long number);

  /** Told whenever what is held of a gateway changed; SUSPECT is told as well. */
  void found(MembershipUpdate now);

  /** It is said that this life of this gateway is gone, which only a higher incarnation answers. */
  void takenForGone(long life);

  /** Asks for {@link FailureDetector#due} then; only the time asked for last counts. */
  void wakeAt(Duration when);
}
