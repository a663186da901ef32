package weldcross.routing;

/** The session whose writes a read has to see. */
public record SessionId(String name) {
}
