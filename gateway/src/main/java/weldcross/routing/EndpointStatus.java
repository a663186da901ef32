package weldcross.routing;

/** What the server list says of a server. */
public enum EndpointStatus {
  ACTIVE,
  DRAINING,
  REMOVED
}
