package weldcross.routing;

/** What the server list says of a server. */
public enum Condition {
  ON,
  DRAINING,
  GONE
}
