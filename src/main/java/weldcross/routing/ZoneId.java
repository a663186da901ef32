package weldcross.routing;

/** A data centre, hall or site. */
public record ZoneId(int number) {
}
