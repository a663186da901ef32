package weldcross.chaos.load;

/** Builds the SQL statements that clients send. */
final class RequestStatement {

  private RequestStatement() {}

  /**
   * Returns the statement of one request, with the request id, request class, deadline and replica
   * group in a comment.
   *
   * @param id the request id, hexadecimal; a write stores it as its value
   * @param key the key that is read or written
   * @param group the replica group of the key
   */
  static String of(RequestType type, String id, String key, int group) {
    String comment =
        " /* id="
            + id
            + ",c="
            + type.className()
            + ",d="
            + type.deadline().toMillis()
            + ",cluster="
            + group
            + " */";
    return type.isWrite()
        ? "INSERT INTO kv (name, content) VALUES ('"
            + key
            + "', '\\x"
            + id
            + "') RETURNING content"
            + comment
        : "SELECT content FROM kv WHERE name = '" + key + "'" + comment;
  }
}
