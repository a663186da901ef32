package weldcross.routing;

import static weldcross.routing.Durations.earlier;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Holds the servers and groups that the endpoint list has named, and polls for the list. */
final class EndpointRegistry {

  private static final int INITIAL_POLL_BACKOFF_DIVISOR = 16;
  private static final int MAX_POLL_BACKOFF_DIVISOR = 2;

  /** Keeps the servers of the own zone ahead of all others in rank, since crossing zones costs. */
  private static final double OTHER_ZONE_RANK_OFFSET = 1;

  private final RouterActions actions;
  private final RoutingConfig config;
  private final SplittableRandom random;
  private final ConcurrencyLimiter limiter;
  private final SlowStart slowStart;
  private final Map<ServerId, EndpointState> endpoints = new LinkedHashMap<>();
  private final Map<GroupId, ReplicaGroup> groups = new LinkedHashMap<>();

  /** Endpoints that the list under way has not named so far; null before the first list. */
  private Set<EndpointState> missingFromList;

  private boolean listValid = true;

  /** When the list is asked for again; null while no call has failed. */
  private Duration nextPollAt;

  private Duration pollBackoff;

  EndpointRegistry(
      RouterActions actions,
      RoutingConfig config,
      SplittableRandom random,
      ConcurrencyLimiter limiter,
      SlowStart slowStart) {
    this.actions = actions;
    this.config = config;
    this.random = random;
    this.limiter = limiter;
    this.slowStart = slowStart;
    this.pollBackoff = config.maxPollInterval().dividedBy(INITIAL_POLL_BACKOFF_DIVISOR);
  }

  /** Returns the endpoint, or null if it is not known. */
  EndpointState endpoint(ServerId id) {
    return endpoints.get(id);
  }

  Collection<EndpointState> endpoints() {
    return endpoints.values();
  }

  /** Returns the group, which is new and empty if it was not known. */
  ReplicaGroup group(GroupId id) {
    return groups.computeIfAbsent(id, unknown -> new ReplicaGroup());
  }

  Collection<ReplicaGroup> groups() {
    return groups.values();
  }

  boolean isListValid() {
    return listValid;
  }

  /**
   * Sets whether the list is known to be complete.
   *
   * @return whether it became so just now
   */
  boolean setListValid(boolean valid) {
    boolean becameValid = valid && !listValid;
    listValid = valid;
    return becameValid;
  }

  /** Begins a list; what a complete one does not name is taken to be removed. */
  void beginList(boolean complete) {
    missingFromList = new LinkedHashSet<>();
    if (complete) {
      missingFromList.addAll(endpoints.values());
    }
  }

  /** Takes in one entry, see {@link Router#endpointListed}. */
  void addListed(Duration now, ListedEndpoint entry) {
    ReplicaGroup group = group(entry.group());
    EndpointState endpoint =
        endpoints.computeIfAbsent(entry.id(), unknown -> add(unknown, group, entry.zone()));
    missingFromList.remove(endpoint);
    if (entry.status() == EndpointStatus.REMOVED) {
      endpoint.listed &= !config.removalIsBinding();
      return;
    }
    endpoint.listed = true;
    endpoint.removedAt = null;
    Duration startedAt = entry.startedAt();
    // Where only draining binds, a list that is wrong for a while does not take it back.
    boolean stillDraining =
        endpoint.draining
            && !config.removalIsBinding()
            && (startedAt == null || startedAt.equals(endpoint.startedAt));
    endpoint.draining = entry.status() == EndpointStatus.DRAINING || stillDraining;
    if (startedAt != null && !startedAt.equals(endpoint.startedAt)) {
      endpoint.startedAt = startedAt;
      endpoint.presumedRestartAt = null;
      slowStart.begin(now, endpoint, startedAt);
    }
    // The list is late, so it names the primary only where nothing better is known.
    if (entry.primary() && group.primary == null) {
      group.primary = endpoint;
    }
  }

  private EndpointState add(ServerId id, ReplicaGroup group, ZoneId zone) {
    double rank = random.nextDouble() + (zone.equals(config.zone()) ? 0 : OTHER_ZONE_RANK_OFFSET);
    EndpointState endpoint = new EndpointState(id, group, zone, rank, limiter.initialLimit());
    group.members.add(endpoint);
    return endpoint;
  }

  void endList() {
    missingFromList.forEach(endpoint -> endpoint.listed &= !config.removalIsBinding());
  }

  /** Backs off before the list is asked for again, at random as all gateways may have failed. */
  void recordListFailure(Duration now) {
    Duration jitter = Duration.ofNanos(random.nextLong(pollBackoff.toNanos() + 1));
    nextPollAt = now.plus(pollBackoff).plus(jitter);
    Duration maxBackoff = config.maxPollInterval().dividedBy(MAX_POLL_BACKOFF_DIVISOR);
    pollBackoff = earlier(pollBackoff.multipliedBy(2), maxBackoff);
  }

  /** Asks for the list again if a call failed and its backoff is over. */
  void pollIfDue(Duration now) {
    if (nextPollAt != null && now.compareTo(nextPollAt) >= 0) {
      nextPollAt = null;
      actions.watchEndpointList();
    }
  }

  /**
   * Forgets endpoints that have left the list, as successors come all day; but not while they may
   * come back cold, or why they were ejected would be forgotten with them.
   */
  void evictRemoved(Duration now) {
    endpoints
        .values()
        .removeIf(
            endpoint ->
                !endpoint.listed
                    && endpoint.inFlight.isEmpty()
                    && !endpoint.healthCheckPending
                    && remove(now, endpoint));
  }

  /** Returns whether the endpoint was removed long enough ago to be forgotten. */
  private boolean remove(Duration now, EndpointState endpoint) {
    if (endpoint.removedAt == null) {
      endpoint.removedAt = now;
      actions.endpointRemoved(endpoint.id);
    }
    if (now.minus(endpoint.removedAt).compareTo(config.slowStartDuration()) < 0) {
      return false;
    }
    if (endpoint.isPrimary()) {
      endpoint.group.primary = null;
    }
    return endpoint.group.members.remove(endpoint);
  }
}
