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
 * Detects which other gateways are alive, unreachable or dead, as one gateway sees it.
 *
 * <p>After SWIM (Das, Gupta, Motivala, 2002): one other member is probed in each interval; if it
 * does not answer, some others are asked to probe it; if they get no answer either it is suspected,
 * and has time to refute that. Updates travel on the probes, so that each gateway's cost is the
 * same however many there are. After Lifeguard (Dadgar, Phillips, Currey, 2017): a gateway that
 * gets no answers at all suspects itself first and gives others more time, and a suspicion is the
 * shorter the more gateways share it.
 *
 * <p>SWIM declares an unanswering member dead. Here it is only {@link MemberState#UNREACHABLE};
 * {@link MemberState#DEAD} takes proof, and only a later incarnation ends it.
 *
 * <p>Pure: no I/O, no clock, random choices from a seed. Not thread-safe: called by the one thread
 * that owns the gateway's state. Times are durations since any fixed origin.
 */
public final class FailureDetector {

  /** A ping sent on behalf of another member, which gets an ack or a nack. */
  private record RelayedProbe(PeerName asker, long askerSequence, Duration deadline) {}

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
   * Creates a detector that sends nothing before {@link #start}.
   *
   * @param seed of the order of probes and the choice of helpers
   */
  public FailureDetector(FailureDetectorConfig config, FailureDetectorActions actions, long seed) {
    this.config = config;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.members = new MemberTable(config.peers());
    this.schedule = new ProbeSchedule(members, random);
  }

  /** Starts probing, or starts again under a higher incarnation. */
  public void start(Duration now, long incarnation) {
    self = Optional.of(selfAlive(incarnation, 0));
    nextProbeAt = now.plusNanos((long) (config.probeInterval().toNanos() * random.nextDouble()));
    actions.wakeAt(nextProbeAt);
  }

  /**
   * Tells some members that this gateway ends, who pass it on. Nothing is sent and no timer is set
   * afterwards.
   */
  public void leave() {
    leaving = true;
    MembershipUpdate dead = requireSelf().withState(MemberState.DEAD, config.self());
    int receivers = Math.max(config.indirectProbes(), maxDeliveries());
    for (PeerName receiver : chooseRandomly(members.reachable(), receivers)) {
      actions.sendAck(receiver, 0, List.of(dead));
    }
  }

  // ---- Messages received

  /** Another member wants to know whether this gateway is alive. */
  public void onPing(Duration now, PeerName from, long sequence, List<MembershipUpdate> received) {
    if (leaving) {
      return;
    }
    applyAll(now, received);
    sendAck(from, sequence);
  }

  /** Another member got no answer from the target and asks this gateway to ping it. */
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

  /** A ping of this gateway was answered, by its target or through a helper. */
  public void onAck(Duration now, PeerName from, long sequence, List<MembershipUpdate> received) {
    applyAll(now, received);
    RelayedProbe relayed = relayedProbes.remove(sequence);
    if (relayed != null) {
      sendAck(relayed.asker(), relayed.askerSequence());
    }
    Probe probe = probes.get(sequence);
    if (probe != null && !probe.isAcked()) {
      probe.ack();
      updates.delivered(probe.updates(), maxDeliveries());
      health.improve();
    }
  }

  /** The helper is alive, and the target gave it no answer. */
  public void onNack(Duration now, PeerName helper, long sequence) {
    Probe probe = probes.get(sequence);
    if (probe != null) {
      probe.nack();
    }
  }

  /**
   * Proof that no process listens on the peer's address.
   *
   * @param incarnation the one known before the connect was begun. A gateway listens before it
   *     sends its first message, so that a known incarnation has listened, and has ended when the
   *     address refuses. A later incarnation, heard of meanwhile, may have begun to listen after
   *     the refusal, which proves nothing about it.
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

  /** Raises this gateway's version above that of an update that doubts it. */
  private void refute(MembershipUpdate said) {
    MembershipUpdate own = requireSelf();
    boolean sameIncarnation = said.incarnation() == own.incarnation();
    if (said.incarnation() > own.incarnation()
        || (sameIncarnation && said.state() == MemberState.DEAD)) {
      actions.declaredDead(said.incarnation());
    } else if (sameIncarnation
        && said.state() != MemberState.ALIVE
        && said.version() >= own.version()) {
      self = Optional.of(selfAlive(own.incarnation(), said.version() + 1));
      // This gateway was slow to answer, or its messages are lost.
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

  /** Does all that is due by now, and asks to be called again. */
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
      // Lifeguard stretches the interval by the local health. Where most members are dead none of
      // them sends a nack, which looks like bad local health, and the survivors must not probe
      // more rarely then.
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
    for (PeerName helper : chooseRandomly(candidates, config.indirectProbes())) {
      probe.requestSent();
      actions.sendPingRequest(helper, probe.target(), sequence, updatesFor(helper));
    }
  }

  private void expireRelayedProbes(Duration now) {
    relayedProbes
        .values()
        .removeIf(
            relayed -> {
              boolean expired = relayed.deadline().compareTo(now) <= 0;
              if (expired) {
                actions.sendNack(relayed.asker(), relayed.askerSequence());
              }
              return expired;
            });
  }

  private void expireSuspicions(Duration now) {
    for (Map.Entry<PeerName, Suspicion> entry : List.copyOf(suspicions.entrySet())) {
      if (deadlineOf(entry.getValue()).compareTo(now) <= 0) {
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
    List<MembershipUpdate> carried = updatesFor(target);
    Duration indirectProbesAt = now.plus(health.scale(config.ackTimeout()));
    Duration deadline = now.plus(health.scale(config.probeInterval()));
    probes.put(sequence, new Probe(target, indirectProbesAt, deadline, carried));
    actions.sendPing(target, sequence, carried);
  }

  private Duration deadlineOf(Suspicion suspicion) {
    return suspicion.deadline(config, members.heardOfCount() + 1);
  }

  private void scheduleWake(Duration now) {
    Duration next = nextProbeAt;
    for (Probe probe : probes.values()) {
      next = earlier(next, probe.nextTimer());
    }
    for (RelayedProbe relayed : relayedProbes.values()) {
      next = earlier(next, relayed.deadline());
    }
    for (Suspicion suspicion : suspicions.values()) {
      next = earlier(next, deadlineOf(suspicion));
    }
    actions.wakeAt(next.compareTo(now) > 0 ? next : now);
  }

  private static Duration earlier(Duration a, Duration b) {
    return b.compareTo(a) < 0 ? b : a;
  }

  // ---- Messages sent

  /** Whoever sent a message is alive, so that the updates of the ack count as delivered. */
  private void sendAck(PeerName to, long sequence) {
    List<MembershipUpdate> carried = updatesFor(to);
    updates.delivered(carried, maxDeliveries());
    actions.sendAck(to, sequence, carried);
  }

  /**
   * The updates for a message: first this gateway's own, so that a restarted gateway is known by
   * its first message; then what is held of the receiver if that is not alive, so that it can
   * refute it; then those with the fewest deliveries.
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
    return config.retransmitFactor()
        * (int) Math.ceil(Math.log10(members.heardOfCount() + 2.0) + 1);
  }

  private List<PeerName> chooseRandomly(List<PeerName> candidates, int count) {
    List<PeerName> chosen = new ArrayList<>();
    while (chosen.size() < count && !candidates.isEmpty()) {
      chosen.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return chosen;
  }

  private MembershipUpdate selfAlive(long incarnation, long version) {
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

  /** The latest update of each other member that was ever heard of, ordered by name. */
  public Collection<MembershipUpdate> members() {
    return members.heardOf();
  }

  /** The latest update of another member; empty if it was never heard of. */
  public Optional<MembershipUpdate> find(PeerName name) {
    return members.find(name);
  }

  /** The state held of a member; {@link MemberState#UNKNOWN} if it was never heard of. */
  public MemberState stateOf(PeerName name) {
    return members.stateOf(name);
  }

  /** This gateway's own update; empty before {@link #start}. */
  public Optional<MembershipUpdate> self() {
    return self;
  }

  /** Zero where all is well here; each step gives others one timeout more. */
  public int healthScore() {
    return health.score();
  }

  /** The state in one line, without a line end. */
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
