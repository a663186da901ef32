package weldcross.chaos.load;

/** A session of clients that sends one request at a time and keeps to one gateway while it can. */
final class ClientSession {

  /** The key that it writes and reads. */
  final String key;

  final int group;

  /** The index of the gateway that it uses. */
  int gateway;

  /** The value of its last acknowledged write; empty for none. */
  String lastWrite = "";

  /** After so many requests another session takes its place. */
  int requestsLeft;

  ClientSession(String key, int group, int gateway, int requestsLeft) {
    this.key = key;
    this.group = group;
    this.gateway = gateway;
    this.requestsLeft = requestsLeft;
  }
}
