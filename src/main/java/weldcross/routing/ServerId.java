package weldcross.routing;

/** A database server, the same at every gateway and across its restarts. */
public record ServerId(String name) {
}
