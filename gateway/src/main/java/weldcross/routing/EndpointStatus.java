package weldcross.routing;

/** What the endpoint list says of a server. */
public enum EndpointStatus {
  /** The server takes requests. */
  ACTIVE,

  /** The server finishes what it has and may get nothing new. */
  DRAINING,

  /** The server has left the list. */
  REMOVED
}
