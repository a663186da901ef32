package weldcross.routing;

/** A primary and its replicas, which hold the same data. */
public record GroupId(int number) {
}
