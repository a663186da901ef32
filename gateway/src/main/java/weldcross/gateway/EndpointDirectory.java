package weldcross.gateway;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldcross.discovery.DiscoveredEndpoint;
import weldcross.routing.EndpointStatus;
import weldcross.routing.GroupId;
import weldcross.routing.ListedEndpoint;
import weldcross.routing.ServerId;
import weldcross.routing.ZoneId;

/** Stores the listed endpoints with their groups, and forwards each endpoint list to the router. */
final class EndpointDirectory {

  private final Gateway gateway;
  private final UnixTime unixTime;
  private final Map<ServerId, GroupId> groups = new LinkedHashMap<>();

  /**
   * All groups ever listed. A group that temporarily has no endpoints must not be reported to
   * clients as unknown.
   */
  private final Set<GroupId> knownGroups = new HashSet<>();

  EndpointDirectory(Gateway gateway, UnixTime unixTime) {
    this.gateway = gateway;
    this.unixTime = unixTime;
  }

  /**
   * Applies an endpoint list.
   *
   * @param complete whether endpoints that are not in the list are removed
   */
  void apply(boolean complete, List<DiscoveredEndpoint> endpoints) {
    gateway.router().beginEndpointList(gateway.now(), complete);
    for (DiscoveredEndpoint endpoint : endpoints) {
      apply(endpoint);
    }
    gateway.router().endEndpointList(gateway.now());
  }

  private void apply(DiscoveredEndpoint endpoint) {
    ServerId server = new ServerId(endpoint.id());
    if (endpoint.address() != null) {
      gateway.serverConnections().setAddress(server, endpoint.address());
    }
    GroupId group = new GroupId(endpoint.group());
    if (endpoint.status() != EndpointStatus.REMOVED || groups.containsKey(server)) {
      groups.put(server, group);
      knownGroups.add(group);
    }
    gateway
        .router()
        .endpointListed(
            gateway.now(),
            new ListedEndpoint(
                server,
                new ZoneId(endpoint.zone()),
                group,
                endpoint.status(),
                endpoint.startedAtMillis() == 0
                    ? null
                    : unixTime.sinceStart(endpoint.startedAtMillis()),
                endpoint.primary()));
  }

  /** Removes an endpoint that is no longer listed; its group stays known. */
  void remove(ServerId server) {
    groups.remove(server);
  }

  /** Returns the group of a listed server; null if the server is not listed. */
  GroupId groupOf(ServerId server) {
    return groups.get(server);
  }

  /** Returns whether any server of the group was ever listed. */
  boolean isKnown(GroupId group) {
    return knownGroups.contains(group);
  }

  boolean isEmpty() {
    return groups.isEmpty();
  }

  int size() {
    return groups.size();
  }
}
