package weldcross.routing;

/** A customer with a share of the service. */
public record TenantId(int number) {
}
