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
 * What clients of a {@link GatewayHarness} asked, what was sent for it and how it was answered;
 * each step is checked against the rules that a gateway must keep.
 */
final class RequestHistory {

  private static final Duration GRACE = Duration.ofMillis(70);

  private static final Pattern STATEMENT =
      Pattern.compile("(SELECT|INSERT).* id=(\\w+),c=(\\w+),d=(\\d+),cluster=0.*");

  private static final Pattern VALUE = Pattern.compile("v-(a\\d+)");

  /** When the client of each request gives up. */
  final Map<String, Duration> deadlines = new HashMap<>();

  /** The connection that each request came on. */
  final Map<String, Long> clientOf = new HashMap<>();

  /** The SQLSTATE of each answer, or "ok", in the order answered. */
  final Map<String, String> answers = new LinkedHashMap<>();

  /** Connections to servers that carry each request. */
  final Map<String, Set<Long>> openAttempts = new HashMap<>();

  /** Requests that a server may have run. */
  final Set<String> mayHaveRun = new HashSet<>();

  /** Requests whose clients left before an answer. */
  final Set<String> abandoned = new HashSet<>();

  /** Requests that must not run twice. */
  final Set<String> writes = new HashSet<>();

  /** Fails a test if a rule does not hold. */
  static void check(boolean holds, String rule) {
    if (!holds) {
      throw new AssertionError(rule);
    }
  }

  /** Returns the id that a statement names; null for a health check, or for null. */
  static String idOf(String statement) {
    Matcher matcher = STATEMENT.matcher(statement == null ? "" : statement);
    return matcher.matches() ? matcher.group(2) : null;
  }

  static boolean isInsert(String statement) {
    return STATEMENT.matcher(statement).replaceAll("$1").equals("INSERT");
  }

  void asked(String id, long client, Duration deadline) {
    deadlines.put(id, deadline);
    clientOf.put(id, client);
  }

  /** Whether a client has asked something that is not answered. */
  boolean hasUnansweredRequest(long client) {
    return clientOf.entrySet().stream()
        .anyMatch(entry -> entry.getValue() == client && !answers.containsKey(entry.getKey()));
  }

  /** A client left before it had all its answers. */
  void disconnected(long client) {
    clientOf.forEach(
        (id, by) -> {
          if (by == client && !answers.containsKey(id)) {
            abandoned.add(id);
          }
        });
  }

  /** A statement was sent to a server. */
  void sent(long connection, String text, Duration now) {
    Matcher matcher = STATEMENT.matcher(text);
    if (!matcher.matches()) {
      check(
          text.equals("SHOW stats\0"), "neither a client's statement nor a health check: " + text);
      return;
    }
    String id = matcher.group(2);
    check(!answers.containsKey(id) && !abandoned.contains(id), "rule 1: sent after its answer");
    Set<Long> out = openAttempts.computeIfAbsent(id, i -> new HashSet<>());
    check(
        matcher.group(1).equals("SELECT") || (out.isEmpty() && !mayHaveRun.contains(id)),
        "rule 2: sent twice");
    Duration serverDeadline = now.plusMillis(Long.parseLong(matcher.group(4)));
    check(
        serverDeadline.compareTo(deadlines.get(id).plus(GRACE)) <= 0,
        "a server is told more time than there is");
    out.add(connection);
  }

  /** A connection ended with a request that may have run; the id is null for a health check. */
  void cutOff(String id, long connection) {
    if (id != null) {
      mayHaveRun.add(id);
      openAttempts.get(id).remove(connection);
    }
  }

  /** A client received one answer. */
  void answered(long client, String text, Duration now) {
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
    check(!served || id.equals(row.group(1)), "rule 1: not the value made for it");
    check(now.compareTo(deadlines.get(id).plus(GRACE)) <= 0, "rule 1: answered late");
    String answer = served ? "ok" : text.replaceAll("(?s).*?\0C(\\w{5})\0.*", "$1");
    boolean sentWrite = openAttempts.containsKey(id) && writes.contains(id);
    check(
        !answer.equals("53300")
            || !sentWrite
            || (openAttempts.get(id).isEmpty() && !mayHaveRun.contains(id)),
        "rule 2: rejected though it may have run");
    answers.put(id, answer);
  }
}
