package weldcross.routing;

/** One try of a client; a client's repeat is another RPC. */
public record RpcId(String name) {
}
