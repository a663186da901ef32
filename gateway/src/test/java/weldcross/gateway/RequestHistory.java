package weldcross.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Records the requests of a {@link GatewayHarness}'s clients, the attempts sent for them and their
 * responses, and checks the invariants of a gateway at each step.
 */
final class RequestHistory {

  private static final Duration DEADLINE_TOLERANCE = Duration.ofMillis(70);

  private static final Pattern STATEMENT =
      Pattern.compile("(SELECT|INSERT).* id=(\\w+),c=(\\w+),d=(\\d+),cluster=0.*");

  private static final Pattern VALUE = Pattern.compile("v-(a\\d+)");

  /** When the client of each request stops waiting. */
  final Map<String, Duration> deadlines = new HashMap<>();

  /** The client connection of each request. */
  final Map<String, Long> clientOf = new HashMap<>();

  /** The SQLSTATE of each response, or "ok", in the order received. */
  final Map<String, String> answers = new LinkedHashMap<>();

  /** Server connections on which each request is in progress. */
  final Map<String, Set<Long>> openAttempts = new HashMap<>();

  /** Requests that a server may have executed. */
  final Set<String> mayHaveRun = new HashSet<>();

  /** Requests whose clients disconnected before the response. */
  final Set<String> abandoned = new HashSet<>();

  /** Requests that must not be executed twice. */
  final Set<String> writes = new HashSet<>();

  /** Fails the test with the message if the condition does not hold. */
  static void check(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }

  /** Returns the request id in a statement; null for a health check and for null. */
  static String idOf(String statement) {
    Matcher matcher = STATEMENT.matcher(statement == null ? "" : statement);
    return matcher.matches() ? matcher.group(2) : null;
  }

  static boolean isInsert(String statement) {
    return STATEMENT.matcher(statement).replaceAll("$1").equals("INSERT");
  }

  void requestSent(String id, long client, Duration deadline) {
    deadlines.put(id, deadline);
    clientOf.put(id, client);
  }

  /** Whether a client has an unanswered request. */
  boolean hasUnansweredRequest(long client) {
    return clientOf.entrySet().stream()
        .anyMatch(entry -> entry.getValue() == client && !answers.containsKey(entry.getKey()));
  }

  /** Marks the unanswered requests of a client that disconnected as abandoned. */
  void disconnected(long client) {
    clientOf.forEach(
        (id, sender) -> {
          if (sender == client && !answers.containsKey(id)) {
            abandoned.add(id);
          }
        });
  }

  /** Records and checks a statement that was sent to a server. */
  void attemptSent(long connection, String text, Duration now) {
    Matcher matcher = STATEMENT.matcher(text);
    if (!matcher.matches()) {
      check(
          text.equals("SHOW stats\0"), "neither a client's statement nor a health check: " + text);
      return;
    }
    String id = matcher.group(2);
    check(
        !answers.containsKey(id) && !abandoned.contains(id),
        "attempt sent after the response or the client's disconnect");
    Set<Long> attempts = openAttempts.computeIfAbsent(id, i -> new HashSet<>());
    check(
        matcher.group(1).equals("SELECT") || (attempts.isEmpty() && !mayHaveRun.contains(id)),
        "write sent again though it may have run");
    Duration serverDeadline = now.plusMillis(Long.parseLong(matcher.group(4)));
    check(
        serverDeadline.compareTo(deadlines.get(id).plus(DEADLINE_TOLERANCE)) <= 0,
        "server given more time than is left");
    attempts.add(connection);
  }

  /** Records that a connection closed during a request; the id is null for a health check. */
  void attemptInterrupted(String id, long connection) {
    if (id != null) {
      mayHaveRun.add(id);
      openAttempts.get(id).remove(connection);
    }
  }

  /** Records and checks a response that a client received. */
  void responseReceived(long client, String text, Duration now) {
    Matcher row = VALUE.matcher(text);
    List<String> unanswered =
        clientOf.entrySet().stream()
            .filter(entry -> entry.getValue() == client && !answers.containsKey(entry.getKey()))
            .map(Map.Entry::getKey)
            .sorted(Comparator.comparingInt(id -> Integer.parseInt(id.substring(1))))
            .toList();
    if (unanswered.isEmpty()) {
      return;
    }
    String id = unanswered.get(0);
    boolean served = row.find();
    check(!served || id.equals(row.group(1)), "response has the value of another request");
    check(
        now.compareTo(deadlines.get(id).plus(DEADLINE_TOLERANCE)) <= 0,
        "response after the deadline");
    String answer = served ? "ok" : text.replaceAll("(?s).*?\0C(\\w{5})\0.*", "$1");
    boolean isSentWrite = openAttempts.containsKey(id) && writes.contains(id);
    check(
        !answer.equals("53300")
            || !isSentWrite
            || (openAttempts.get(id).isEmpty() && !mayHaveRun.contains(id)),
        "write rejected as not run though it may have run");
    answers.put(id, answer);
  }
}
