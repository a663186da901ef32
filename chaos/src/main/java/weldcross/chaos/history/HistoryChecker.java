package weldcross.chaos.history;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldcross.chaos.load.ClientOperation;
import weldcross.chaos.load.LoadGenerator;
import weldcross.fakes.ReplicatedStoreModel;

/**
 * Judges a trial by the servers' own record and what clients saw; knows nothing of the program.
 * Pure. What a trouble explains is a loss and is told in the report; what nothing explains is a
 * breach.
 */
public final class HistoryChecker {

  /** The rules, as the operators word them. */
  public enum Rule {
    ONE_ANSWER("one final answer per RPC, in time, none after"),
    ONE_EFFECT("no effect twice"),
    EFFECT_THERE("what was answered as done is done"),
    REFUSED_HARMLESS("what was refused has not run"),
    FRESH("no stale read"),
    ONE_VIEW("views of one number are one"),
    NO_VIEW_BACK("views never go back in one process"),
    AGREES("all agree once all troubles are over");

    public final String words;

    Rule(String words) {
      this.words = words;
    }
  }

  /**
   * @param at when it was sent
   */
  public record Breach(Rule rule, String rpc, long at, String what) {}

  /** A late clock tick of the server beside the client's. */
  private static final long SLACK = LoadGenerator.SLACK.toNanos();

  /** What a trouble leaves behind: calls that were held, servers that were doubted. */
  private static final long AFTERMATH = Duration.ofSeconds(3).toNanos();

  private final History evidence;
  private final Map<String, List<ReplicatedStoreModel.Effect>> effects = new HashMap<>();
  private final Map<String, Long> sequences = new HashMap<>();
  private final Map<String, List<ReplicatedStoreModel.Read>> reads = new HashMap<>();
  private final List<Breach> breaches = new ArrayList<>();

  private HistoryChecker(History evidence) {
    this.evidence = evidence;
    for (ReplicatedStoreModel.Effect each : evidence.effects()) {
      effects.computeIfAbsent(each.rpc(), r -> new ArrayList<>()).add(each);
      sequences.put(each.value(), each.sequence());
    }
    for (ReplicatedStoreModel.Read each : evidence.reads()) {
      reads.computeIfAbsent(each.rpc(), r -> new ArrayList<>()).add(each);
    }
  }

  /** All breaches, in the order of their RPCs. */
  public static List<Breach> of(History evidence) {
    HistoryChecker audit = new HistoryChecker(evidence);
    Set<String> ids = new HashSet<>();
    for (ClientOperation each : evidence.asked()) {
      if (!ids.add(each.rpc())) {
        audit.breach(Rule.ONE_ANSWER, each, "answered twice");
      }
      audit.answers(each);
      audit.effects(each);
      audit.freshness(each);
    }
    audit.views();
    evidence
        .unasked()
        .forEach(
            words ->
                audit.breaches.add(
                    new Breach(
                        Rule.ONE_ANSWER,
                        "",
                        0,
                        "nobody had asked for: " + words.replaceAll("[^ -~]", "."))));
    audit.effects.forEach(
        (rpc, all) -> {
          if (!ids.contains(rpc)) {
            audit.breaches.add(
                new Breach(Rule.ONE_EFFECT, rpc, all.get(0).at(), "an effect of no RPC"));
          }
        });
    return audit.breaches;
  }

  private void breach(Rule rule, ClientOperation of, String what) {
    breaches.add(
        new Breach(
            rule,
            of.rpc(),
            of.sent(),
            of.method().word
                + " of "
                + of.session()
                + " by "
                + of.gateway()
                + ", "
                + of.outcome()
                + ": "
                + what));
  }

  private void views() {
    Map<Long, History.Held> first = new HashMap<>();
    Map<String, Long> last = new HashMap<>();
    for (History.Held each : evidence.views()) {
      History.Held one = first.putIfAbsent(each.number(), each);
      if (one != null && !one.members().equals(each.members())) {
        breaches.add(
            new Breach(
                Rule.ONE_VIEW,
                "view " + each.number() + " is",
                0,
                one.gateway()
                    + " has "
                    + one.members()
                    + ", "
                    + each.gateway()
                    + " has "
                    + each.members()));
      }
      Long before = last.put(each.gateway() + "/" + each.process(), each.number());
      if (before != null && before >= each.number()) {
        breaches.add(
            new Breach(
                Rule.NO_VIEW_BACK,
                "view " + each.number() + " is",
                0,
                each.gateway() + " had " + before + " before"));
      }
    }
    if (evidence.agreedAfter() != null && evidence.agreedAfter() < 0) {
      breaches.add(new Breach(Rule.AGREES, "", 0, "they did not"));
    }
  }

  private void answers(ClientOperation a) {
    if (a.outcome() == ClientOperation.ClientOutcome.SILENT
        || a.outcome() == ClientOperation.ClientOutcome.ENDED) {
      if (reason(evidence, a) == null) {
        breach(Rule.ONE_ANSWER, a, "no answer, and no trouble of its gateway explains it");
      }
    }
    if (a.outcome() == ClientOperation.ClientOutcome.OK
        && a.method().write
        && !a.value().equals(a.rpc())) {
      breach(Rule.ONE_ANSWER, a, "another's value: " + a.value());
    }
  }

  private void effects(ClientOperation a) {
    List<ReplicatedStoreModel.Effect> mine = effects.getOrDefault(a.rpc(), List.of());
    if (mine.size() > 1) {
      breach(Rule.ONE_EFFECT, a, mine.size() + " effects, at " + mine);
    }
    if (a.outcome() == ClientOperation.ClientOutcome.OK && a.method().write && mine.isEmpty()) {
      breach(Rule.EFFECT_THERE, a, "no server has it");
    }
    if ((a.outcome() == ClientOperation.ClientOutcome.PUSHED_BACK
            || a.outcome() == ClientOperation.ClientOutcome.NOT_TAKEN)
        && !mine.isEmpty()) {
      breach(Rule.REFUSED_HARMLESS, a, "it ran, at " + mine);
    }
  }

  private void freshness(ClientOperation a) {
    if (a.outcome() != ClientOperation.ClientOutcome.OK || a.method().write) {
      return;
    }
    if (a.method().need.equals("session") && !a.after().isEmpty()) {
      long seen = a.value().isEmpty() ? 0 : sequences.getOrDefault(a.value(), 0L);
      long wrote = sequences.getOrDefault(a.after(), 0L);
      if (seen < wrote) {
        breach(
            Rule.FRESH, a, "saw commit " + seen + " of its key, its session had written " + wrote);
      }
    }
    if (a.method().need.equals("bounded")) {
      // Its answer is that of one of the reads done for it: the freshest that gave this value. The
      // bound
      // counts from the send, which is no earlier than the client's.
      long seen = a.value().isEmpty() ? 0 : sequences.getOrDefault(a.value(), 0L);
      long freshest =
          reads.getOrDefault(a.rpc(), List.of()).stream()
              .filter(r -> r.seen() == seen)
              .mapToLong(ReplicatedStoreModel.Read::position)
              .max()
              .orElse(Long.MIN_VALUE);
      if (freshest < a.sent() - a.method().bound.toNanos() - SLACK) {
        breach(
            Rule.FRESH,
            a,
            "data of " + (a.sent() - freshest) / 1_000_000 + " ms before it was sent");
      }
    }
  }

  /** The trouble that explains why a client was told nothing; null where there is none. */
  public static String reason(History evidence, ClientOperation a) {
    for (History.Trouble each : evidence.troubles()) {
      if (each.touches(a.gateway(), a.sent(), a.ended())) {
        return each.what();
      }
    }
    return null;
  }

  /**
   * The trouble nearest before a refusal or failure, within its aftermath; null where there is
   * none.
   */
  public static String cause(History evidence, ClientOperation a) {
    String reason = reason(evidence, a);
    for (History.Trouble each : evidence.troubles()) {
      if (reason == null && each.from() <= a.ended() && each.until() + AFTERMATH >= a.sent()) {
        reason = each.what();
      }
    }
    return reason;
  }
}
