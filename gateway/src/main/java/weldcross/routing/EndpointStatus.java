package weldcross.routing;

/** The status of a server in the endpoint list. */
public enum EndpointStatus {
  /** The server accepts requests. */
  ACTIVE,

  /** The server finishes its open requests and must not receive new ones. */
  DRAINING,

  /** The server has been removed from the list. */
  REMOVED
}
