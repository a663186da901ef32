package weldcross.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import weldcross.mesh.PeerName;

/**
 * Tracks which other gateways are alive, unreachable or dead from the point of view of one gateway.
 *
 * <p>Implements SWIM (Das, Gupta, Motivala, 2002): each interval one member is probed. If it does
 * not respond, several relays are asked to probe it indirectly; if they get no response either, the
 * member becomes suspect and may refute the suspicion before it times out. Updates are piggybacked
 * on the probe messages, so the cost per gateway is independent of the cluster size. Adds two parts
 * of Lifeguard (Dadgar, Phillips, Currey, 2017): a gateway that receives no responses first assumes
 * that it is itself unhealthy and extends its timeouts, and a suspicion times out sooner the more
 * gateways confirm it.
 *
 * <p>SWIM declares an unresponsive member dead. This detector only declares it {@link
 * MemberState#UNREACHABLE}; {@link MemberState#DEAD} requires proof and is cleared only by a later
 * incarnation.
 *
 * <p>Deterministic: performs no I/O, reads no clock and takes random choices from a seed. Not
 * thread-safe: must be called on the thread that owns the gateway's state. Times are durations
 * since an arbitrary fixed origin.
 */
public final class FailureDetector {

  /** A ping sent on behalf of a requester, which receives an ack or a nack for it. */
  private record RelayedProbe(PeerName requester, long requesterSequence, Duration deadline) {}

  private final FailureDetectorConfig config;
  private final FailureDetectorActions actions;
  private final SplittableRandom random;
  private final MemberTable members;
  private final ProbeSchedule schedule;
  private final UpdateQueue updates = new UpdateQueue();
  private final LocalHealth health = new LocalHealth();
  private final Map<PeerName, Suspicion> suspicions = new TreeMap<>();
  private final Map<Long, Probe> probes = new TreeMap<>();
  private final Map<Long, RelayedProbe> relayedProbes = new TreeMap<>();
  private Optional<MembershipUpdate> self = Optional.empty();
  private long lastSequence;
  private Duration nextProbeAt = Duration.ZERO;
  private boolean leaving;

  /**
   * Creates a detector that sends no messages before {@link #start}.
   *
   * @param seed seeds the probe order and the choice of relays
   */
  public FailureDetector(FailureDetectorConfig config, FailureDetectorActions actions, long seed) {
    this.config = config;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.members = new MemberTable(config.peers());
    this.schedule = new ProbeSchedule(members, random);
  }

  /** Starts probing, or restarts under a higher incarnation. */
  public void start(Duration now, long incarnation) {
    self = Optional.of(aliveUpdateOfSelf(incarnation, 0));
    nextProbeAt = now.plusNanos((long) (config.probeInterval().toNanos() * random.nextDouble()));
    actions.wakeAt(nextProbeAt);
  }

  /**
   * Announces to several members that this gateway shuts down; they gossip the update further.
   * Pings, ping requests and timers are ignored afterwards.
   */
  public void leave() {
    leaving = true;
    MembershipUpdate dead = requireSelf().withState(MemberState.DEAD, config.self());
    int receiverCount = Math.max(config.indirectProbes(), maxDeliveries());
    for (PeerName receiver : chooseRandomly(members.reachable(), receiverCount)) {
      actions.sendAck(receiver, 0, List.of(dead));
    }
  }

  // ---- Received messages

  /** Handles a probe of this gateway by another member. */
  public void onPing(Duration now, PeerName from, long sequence, List<MembershipUpdate> received) {
    if (leaving) {
      return;
    }
    applyAll(now, received);
    sendAck(from, sequence);
  }

  /** Handles a request to probe a target that did not respond to the requester. */
  public void onPingRequest(
      Duration now,
      PeerName from,
      PeerName target,
      long sequence,
      List<MembershipUpdate> received) {
    if (leaving) {
      return;
    }
    applyAll(now, received);
    long ownSequence = ++lastSequence;
    Duration deadline = now.plus(health.scale(config.ackTimeout()));
    relayedProbes.put(ownSequence, new RelayedProbe(from, sequence, deadline));
    actions.sendPing(target, ownSequence, updatesFor(target));
    scheduleWake(now);
  }

  /** Handles the response to a ping of this gateway, sent by the target or through a relay. */
  public void onAck(Duration now, PeerName from, long sequence, List<MembershipUpdate> received) {
    applyAll(now, received);
    RelayedProbe relayed = relayedProbes.remove(sequence);
    if (relayed != null) {
      sendAck(relayed.requester(), relayed.requesterSequence());
    }
    Probe probe = probes.get(sequence);
    if (probe != null && !probe.isAcked()) {
      probe.recordAck();
      updates.recordDelivery(probe.updates(), maxDeliveries());
      health.improve();
    }
  }

  /** Handles a relay's report that the target did not respond to it. */
  public void onNack(Duration now, PeerName relay, long sequence) {
    Probe probe = probes.get(sequence);
    if (probe != null) {
      probe.recordNack();
    }
  }

  /**
   * Handles proof that no process listens on the peer's address.
   *
   * @param incarnation the peer's incarnation known before the connection attempt. A gateway
   *     listens before it sends its first message, so a known incarnation has been listening and
   *     must have ended if the connection is refused. An incarnation learned during the attempt may
   *     have started listening after the refusal, so the refusal proves nothing about it.
   */
  public void onConnectionRefused(Duration now, PeerName peer, long incarnation) {
    members
        .find(peer)
        .filter(known -> known.incarnation() == incarnation)
        .ifPresent(known -> apply(now, known.withState(MemberState.DEAD, config.self())));
  }

  // ---- Updates

  private void applyAll(Duration now, List<MembershipUpdate> received) {
    for (MembershipUpdate update : received) {
      if (update.member().equals(config.self())) {
        refute(update);
      } else {
        apply(now, update);
      }
    }
  }

  /** Raises this gateway's version above that of an update that reports it as not alive. */
  private void refute(MembershipUpdate update) {
    MembershipUpdate own = requireSelf();
    boolean sameIncarnation = update.incarnation() == own.incarnation();
    if (update.incarnation() > own.incarnation()
        || (sameIncarnation && update.state() == MemberState.DEAD)) {
      actions.declaredDead(update.incarnation());
    } else if (sameIncarnation
        && update.state() != MemberState.ALIVE
        && update.version() >= own.version()) {
      self = Optional.of(aliveUpdateOfSelf(own.incarnation(), update.version() + 1));
      // This gateway responded too slowly, or its messages were lost.
      health.worsen(1);
    }
  }

  private void apply(Duration now, MembershipUpdate update) {
    Optional<MembershipUpdate> previous = members.find(update.member());
    if (previous.isPresent() && update.confirmsSuspicionOf(previous.get())) {
      confirmSuspicion(now, update);
      return;
    }
    if (!update.overrides(previous)) {
      return;
    }
    members.put(update);
    suspicions.remove(update.member());
    if (update.state() == MemberState.SUSPECT) {
      suspicions.put(update.member(), new Suspicion(now, update.reporter()));
    }
    updates.add(update);
    actions.memberChanged(update);
    scheduleWake(now);
  }

  private void confirmSuspicion(Duration now, MembershipUpdate update) {
    Suspicion suspicion = suspicions.get(update.member());
    if (suspicion.confirm(update.reporter(), config.indirectProbes())) {
      updates.add(update);
    }
    scheduleWake(now);
  }

  // ---- Timers

  /** Processes all expired timers and schedules the next call. */
  public void onTimer(Duration now) {
    if (leaving || self.isEmpty()) {
      return;
    }
    for (Map.Entry<Long, Probe> entry : List.copyOf(probes.entrySet())) {
      checkProbe(now, entry.getKey(), entry.getValue());
    }
    expireRelayedProbes(now);
    expireSuspicions(now);
    if (nextProbeAt.compareTo(now) <= 0) {
      // Lifeguard also scales the probe interval by the local health score. That is omitted here:
      // if most members are dead, the missing nacks worsen the score, and the remaining gateways
      // must not probe less often in that case.
      nextProbeAt = now.plus(config.probeInterval());
      probeNext(now);
    }
    scheduleWake(now);
  }

  private void checkProbe(Duration now, long sequence, Probe probe) {
    if (probe.isAcked()) {
      probes.remove(sequence);
    } else if (probe.isExpired(now)) {
      probes.remove(sequence);
      health.worsen(probe.healthPenalty());
      members
          .find(probe.target())
          .filter(known -> known.state().isReachable())
          .ifPresent(known -> apply(now, known.withState(MemberState.SUSPECT, config.self())));
    } else if (probe.needsIndirectProbes(now)) {
      probe.indirectProbesStarted();
      sendPingRequests(sequence, probe);
    }
  }

  private void sendPingRequests(long sequence, Probe probe) {
    List<PeerName> candidates = members.reachable();
    candidates.remove(probe.target());
    for (PeerName relay : chooseRandomly(candidates, config.indirectProbes())) {
      probe.recordPingRequest();
      actions.sendPingRequest(relay, probe.target(), sequence, updatesFor(relay));
    }
  }

  private void expireRelayedProbes(Duration now) {
    relayedProbes
        .values()
        .removeIf(
            relayed -> {
              boolean expired = relayed.deadline().compareTo(now) <= 0;
              if (expired) {
                actions.sendNack(relayed.requester(), relayed.requesterSequence());
              }
              return expired;
            });
  }

  private void expireSuspicions(Duration now) {
    for (Map.Entry<PeerName, Suspicion> entry : List.copyOf(suspicions.entrySet())) {
      if (suspicionDeadline(entry.getValue()).compareTo(now) <= 0) {
        members
            .find(entry.getKey())
            .ifPresent(
                known -> apply(now, known.withState(MemberState.UNREACHABLE, config.self())));
      }
    }
  }

  private void probeNext(Duration now) {
    Optional<PeerName> next = schedule.next();
    if (next.isEmpty()) {
      return;
    }
    PeerName target = next.get();
    long sequence = ++lastSequence;
    List<MembershipUpdate> piggybacked = updatesFor(target);
    Duration indirectProbesAt = now.plus(health.scale(config.ackTimeout()));
    Duration deadline = now.plus(health.scale(config.probeInterval()));
    probes.put(sequence, new Probe(target, indirectProbesAt, deadline, piggybacked));
    actions.sendPing(target, sequence, piggybacked);
  }

  private Duration suspicionDeadline(Suspicion suspicion) {
    return suspicion.deadline(config, members.knownCount() + 1);
  }

  private void scheduleWake(Duration now) {
    Duration next = nextProbeAt;
    for (Probe probe : probes.values()) {
      next = earlier(next, probe.nextDeadline());
    }
    for (RelayedProbe relayed : relayedProbes.values()) {
      next = earlier(next, relayed.deadline());
    }
    for (Suspicion suspicion : suspicions.values()) {
      next = earlier(next, suspicionDeadline(suspicion));
    }
    actions.wakeAt(next.compareTo(now) > 0 ? next : now);
  }

  private static Duration earlier(Duration a, Duration b) {
    return b.compareTo(a) < 0 ? b : a;
  }

  // ---- Sent messages

  /** Counts the updates of the ack as delivered: the receiver has just sent a message. */
  private void sendAck(PeerName to, long sequence) {
    List<MembershipUpdate> piggybacked = updatesFor(to);
    updates.recordDelivery(piggybacked, maxDeliveries());
    actions.sendAck(to, sequence, piggybacked);
  }

  /**
   * Returns the updates for a message: first this gateway's own, so that the first message after a
   * restart announces its new incarnation; then the receiver's, if it is not alive, so that it can
   * refute it; then the pending updates with the fewest deliveries.
   */
  private List<MembershipUpdate> updatesFor(PeerName receiver) {
    List<MembershipUpdate> message = new ArrayList<>();
    message.add(requireSelf());
    members
        .find(receiver)
        .filter(known -> known.state() != MemberState.ALIVE)
        .ifPresent(message::add);
    updates.fill(message, receiver, config.maxUpdatesPerMessage());
    return message;
  }

  private int maxDeliveries() {
    return config.retransmitFactor() * (int) Math.ceil(Math.log10(members.knownCount() + 2.0) + 1);
  }

  private List<PeerName> chooseRandomly(List<PeerName> candidates, int count) {
    List<PeerName> chosen = new ArrayList<>();
    while (chosen.size() < count && !candidates.isEmpty()) {
      chosen.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return chosen;
  }

  private MembershipUpdate aliveUpdateOfSelf(long incarnation, long version) {
    return new MembershipUpdate(
        config.self(),
        incarnation,
        version,
        MemberState.ALIVE,
        config.zone(),
        config.trafficWeight(),
        config.self());
  }

  private MembershipUpdate requireSelf() {
    return self.orElseThrow(() -> new IllegalStateException("failure detector not started"));
  }

  // ---- State

  /** Returns the latest update of each other known member, ordered by name. */
  public Collection<MembershipUpdate> members() {
    return members.known();
  }

  /** Returns the latest update of another member, or empty if none was received. */
  public Optional<MembershipUpdate> find(PeerName name) {
    return members.find(name);
  }

  /** Returns a member's state, {@link MemberState#UNKNOWN} if no update was received. */
  public MemberState stateOf(PeerName name) {
    return members.stateOf(name);
  }

  /** Returns this gateway's own update; empty before {@link #start}. */
  public Optional<MembershipUpdate> self() {
    return self;
  }

  /** Returns the local health score: 0 is healthy; each point adds one base timeout. */
  public int healthScore() {
    return health.score();
  }

  /** Returns a one-line summary for the log, without a line terminator. */
  public String describe() {
    return "membership: states="
        + members.countByState()
        + " unknown="
        + members.unknownCount()
        + " healthScore="
        + health.score()
        + " pendingUpdates="
        + updates.size();
  }
}
