package weldcross.routing;

import static weldcross.routing.Durations.earlier;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Maintains the known endpoints and replica groups from the endpoint list, and requests the list
 * again after a failure.
 */
final class EndpointRegistry {

  /** The poll backoff starts at this fraction of the maximum poll interval. */
  private static final int INITIAL_POLL_BACKOFF_DIVISOR = 16;

  /** The poll backoff is capped at this fraction of the maximum poll interval. */
  private static final int MAX_POLL_BACKOFF_DIVISOR = 2;

  /**
   * Added to the rank of endpoints in other zones, so that endpoints of the local zone are
   * preferred, since cross-zone traffic is costly.
   */
  private static final double OTHER_ZONE_RANK_OFFSET = 1;

  private final RouterActions actions;
  private final RoutingConfig config;
  private final SplittableRandom random;
  private final ConcurrencyLimiter limiter;
  private final SlowStart slowStart;
  private final Map<ServerId, EndpointState> endpoints = new LinkedHashMap<>();
  private final Map<GroupId, ReplicaGroup> groups = new LinkedHashMap<>();

  /** Endpoints not yet named by the list that is being received; null before the first list. */
  private Set<EndpointState> missingFromList;

  private boolean listValid = true;

  /** When the list is requested again; null unless a request has failed. */
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

  /** Returns the endpoint, or null if it is unknown. */
  EndpointState endpoint(ServerId id) {
    return endpoints.get(id);
  }

  Collection<EndpointState> endpoints() {
    return endpoints.values();
  }

  /** Returns the group, creating an empty one if it is unknown. */
  ReplicaGroup group(GroupId id) {
    return groups.computeIfAbsent(id, absentId -> new ReplicaGroup());
  }

  Collection<ReplicaGroup> groups() {
    return groups.values();
  }

  boolean isListValid() {
    return listValid;
  }

  /**
   * Sets whether the endpoint list is valid, that is, known to be up to date.
   *
   * @return whether the list was invalid before and is valid now
   */
  boolean setListValid(boolean valid) {
    boolean becameValid = valid && !listValid;
    listValid = valid;
    return becameValid;
  }

  /**
   * Begins an endpoint list. Endpoints that a complete list does not name are treated as removed.
   */
  void beginList(boolean complete) {
    missingFromList = new LinkedHashSet<>();
    if (complete) {
      missingFromList.addAll(endpoints.values());
    }
  }

  /** Applies one entry of the list, see {@link Router#endpointListed}. */
  void addListed(Duration now, ListedEndpoint entry) {
    ReplicaGroup group = group(entry.group());
    EndpointState endpoint =
        endpoints.computeIfAbsent(entry.id(), absentId -> add(absentId, group, entry.zone()));
    missingFromList.remove(endpoint);
    if (entry.status() == EndpointStatus.REMOVED) {
      endpoint.listed &= !config.removalIsBinding();
      return;
    }
    endpoint.listed = true;
    endpoint.removedAt = null;
    Duration startedAt = entry.startedAt();
    // If only draining is binding, a temporarily incorrect list must not revert it.
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
    // The list may lag behind a failover, so its primary is used only if none is known yet.
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

  /** Ends the list: marks endpoints that a complete list did not name as removed. */
  void endList() {
    missingFromList.forEach(endpoint -> endpoint.listed &= !config.removalIsBinding());
  }

  /**
   * Schedules another request for the list, with backoff and jitter, since all gateways may have
   * failed at the same time.
   */
  void recordListFailure(Duration now) {
    Duration jitter = Duration.ofNanos(random.nextLong(pollBackoff.toNanos() + 1));
    nextPollAt = now.plus(pollBackoff).plus(jitter);
    Duration maxBackoff = config.maxPollInterval().dividedBy(MAX_POLL_BACKOFF_DIVISOR);
    pollBackoff = earlier(pollBackoff.multipliedBy(2), maxBackoff);
  }

  /** Requests the list again if a request failed and its backoff has passed. */
  void pollIfDue(Duration now) {
    if (nextPollAt != null && now.compareTo(nextPollAt) >= 0) {
      nextPollAt = null;
      actions.requestEndpointList();
    }
  }

  /**
   * Evicts endpoints that have been removed from the list, since replacements get new names and the
   * registry would grow without bound. An endpoint is kept for the slow-start duration after its
   * removal: it may be listed again while cold, and its ejection state must survive until then.
   */
  void evictRemoved(Duration now) {
    endpoints
        .values()
        .removeIf(
            endpoint ->
                !endpoint.listed
                    && endpoint.inFlight.isEmpty()
                    && !endpoint.healthCheckPending
                    && evictIfExpired(now, endpoint));
  }

  /**
   * Evicts the endpoint from its group if its retention period after removal has passed; returns
   * whether it did.
   */
  private boolean evictIfExpired(Duration now, EndpointState endpoint) {
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
