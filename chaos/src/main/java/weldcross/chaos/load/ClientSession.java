package weldcross.chaos.load;

/**
 * A client session. It sends one request at a time and stays with one gateway as long as requests
 * to that gateway are answered.
 */
final class ClientSession {

  /** The key that the session writes and reads. */
  final String key;

  final int group;

  /** The index of the gateway in use. */
  int gateway;

  /** The value of the last acknowledged write; empty for none. */
  String lastWrite = "";

  /** The number of requests left before a new session replaces this one. */
  int requestsLeft;

  ClientSession(String key, int group, int gateway, int requestsLeft) {
    this.key = key;
    this.group = group;
    this.gateway = gateway;
    this.requestsLeft = requestsLeft;
  }
}
