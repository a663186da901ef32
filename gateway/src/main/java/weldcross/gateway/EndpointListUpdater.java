package weldcross.gateway;

import java.time.Duration;
import java.util.List;
import java.util.logging.Logger;
import weldcross.config.ConfigValues;
import weldcross.discovery.DiscoveredEndpoint;
import weldcross.routing.EndpointStatus;

/**
 * Applies the endpoint lists of discovery to the gateway, and prevents a discovery address whose
 * list is stale from replacing a newer one.
 */
final class EndpointListUpdater {

  private static final Logger LOG = Logger.getLogger(EndpointListUpdater.class.getName());

  private final Gateway gateway;
  private final List<String> zones;
  private final Duration maxPollInterval;
  private long revision = DiscoverySession.NO_REVISION;

  /**
   * Creates an updater for a gateway without a list.
   *
   * @param gateway the gateway
   * @param zones names of the configured zones, in the order of their indexes
   * @param maxPollInterval longest time that a gateway may go without a list; lists that are older
   *     for that long show that discovery has reset its revision numbers
   */
  EndpointListUpdater(Gateway gateway, List<String> zones, Duration maxPollInterval) {
    this.gateway = gateway;
    this.zones = zones;
    this.maxPollInterval = maxPollInterval;
  }

  /**
   * Applies a response of discovery.
   *
   * @return its revision, after which the next watch requests changes
   * @throws weldcross.config.InvalidConfigException if the response is not a valid list
   */
  long apply(DiscoverySession session, ConfigValues list) {
    return isStale(session, list) ? applyDrains(list) : apply(list);
  }

  /**
   * Applies a list that is not stale, or the list of the previous run.
   *
   * @return its revision
   * @throws weldcross.config.InvalidConfigException if it is not a valid list
   */
  long apply(ConfigValues list) {
    // An object without these fields must not be read as an empty list, which removes all servers.
    list.text("revision");
    list.text("complete");
    list.text("members.count");
    List<DiscoveredEndpoint> endpoints = DiscoveredEndpoint.read(list, zones);
    long newRevision = list.integer("revision", DiscoverySession.NO_REVISION, 0);
    boolean complete = list.flag("complete", false);
    if (newRevision != revision && !(endpoints.isEmpty() && !complete)) {
      LOG.info(
          () ->
              "endpoint list updated: revision="
                  + newRevision
                  + " complete="
                  + complete
                  + " entries="
                  + endpoints.size());
    }
    revision = newRevision;
    gateway.endpointsListed(complete, endpoints);
    return newRevision;
  }

  /**
   * Returns whether the list is older than the current one. An older list would undo drains, so
   * that requests would be sent to draining servers again. Until the address has caught up, the
   * changes that it sends are already known. Discovery may also reset its revision numbers: lists
   * that are still older after the maximum poll interval are accepted as newer, starting with a
   * complete list.
   */
  private boolean isStale(DiscoverySession session, ConfigValues list) {
    boolean older = list.integer("revision", Long.MAX_VALUE, 0) < revision;
    if (!older) {
      session.staleSince = null;
      return false;
    }
    if (session.staleSince == null) {
      session.staleSince = gateway.now();
      LOG.info(
          () ->
              "endpoint list is older than the current one, applying only its drains: endpoint="
                  + session.endpoint());
    }
    if (gateway.now().minus(session.staleSince).compareTo(maxPollInterval) < 0) {
      return true;
    }
    if (list.flag("complete", false)) {
      return false;
    }
    session.requestCompleteList();
    return true;
  }

  /**
   * Applies only the drains and removals of a stale list. They are new if discovery has reset its
   * revision numbers, and already known or outdated otherwise.
   */
  private long applyDrains(ConfigValues list) {
    gateway.endpointsListed(
        false,
        DiscoveredEndpoint.read(list, zones).stream()
            .filter(endpoint -> endpoint.status() != EndpointStatus.ACTIVE)
            .toList());
    return list.integer("revision", DiscoverySession.NO_REVISION, 0);
  }
}
