package weldcross.gateway;

import java.time.Duration;
import java.util.List;
import java.util.logging.Logger;
import weldcross.config.ConfigValues;
import weldcross.discovery.DiscoveredEndpoint;
import weldcross.routing.EndpointStatus;

/**
 * Applies the endpoint lists that discovery sends to the gateway, and keeps an address of discovery
 * that is behind the one before it from taking the gateway back to an older list.
 */
final class EndpointListUpdater {

  private static final Logger LOG = Logger.getLogger(EndpointListUpdater.class.getName());

  private final Gateway gateway;
  private final List<String> zones;
  private final Duration maxPollInterval;
  private long revision = DiscoverySession.NO_REVISION;

  /**
   * Creates an updater of a gateway without a list.
   *
   * @param gateway the gateway
   * @param zones names of the configured zones, in the order of their numbers
   * @param maxPollInterval time within which a gateway must have a list; what is still behind after
   *     that is a newer count of revisions
   */
  EndpointListUpdater(Gateway gateway, List<String> zones, Duration maxPollInterval) {
    this.gateway = gateway;
    this.zones = zones;
    this.maxPollInterval = maxPollInterval;
  }

  /**
   * Applies an answer of discovery.
   *
   * @return its revision, from which the next watch goes on
   * @throws weldcross.config.InvalidConfigException if the answer is no list
   */
  long apply(DiscoverySession session, ConfigValues list) {
    return isBehind(session, list) ? applyDrains(list) : apply(list);
  }

  /**
   * Applies a list of the last known address, or the one of the previous run.
   *
   * @return its revision
   * @throws weldcross.config.InvalidConfigException if it is no list
   */
  long apply(ConfigValues list) {
    // Without these it is no list; taken for an empty one, it would end all service.
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
   * that requests would go to draining servers again; what such an address sends is known already,
   * until it has caught up. Discovery may also count revisions anew: what is still behind when the
   * longest time without a list is over counts as newer, once it was requested as a whole.
   */
  private boolean isBehind(DiscoverySession session, ConfigValues list) {
    boolean older = list.integer("revision", Long.MAX_VALUE, 0) < revision;
    if (!older) {
      session.behindSince = null;
      return false;
    }
    if (session.behindSince == null) {
      session.behindSince = gateway.now();
      LOG.info(
          () ->
              "endpoint list is older than the current one, which stays in force: endpoint="
                  + session.endpoint());
    }
    if (gateway.now().minus(session.behindSince).compareTo(maxPollInterval) < 0) {
      return true;
    }
    if (list.flag("complete", false)) {
      return false;
    }
    session.requestCompleteList();
    return true;
  }

  /**
   * Applies only the drains of an older list: if discovery counts anew they are new; else they are
   * known, or over.
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
