package weldcross.fakes;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** The endpoint list that a fake discovery service serves. Each change increments the revision. */
public final class FakeDiscoveryCatalog {

  /** The phase of an endpoint that was removed from the list. */
  private static final String PHASE_LEFT = "left";

  /**
   * An entry of the endpoint list, with the fields of its JSON form.
   *
   * @param id the name of the endpoint
   * @param group the replica group that the endpoint belongs to
   * @param zone the zone that the endpoint runs in
   * @param phase {@code active}, {@code leaving} or {@code left}
   * @param upSinceMillis Unix time of the last start in milliseconds; zero if it started long ago
   */
  public record Member(String id, int group, String zone, String phase, long upSinceMillis) {}

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final TreeMap<Long, Member> changes = new TreeMap<>();
  private long revision;

  /** Creates an empty list at revision zero. */
  public FakeDiscoveryCatalog() {}

  /**
   * Publishes the new state of one endpoint.
   *
   * @param member the new entry
   * @return the revision of this change
   */
  public synchronized long publish(Member member) {
    revision++;
    if (member.phase().equals(PHASE_LEFT)) {
      members.remove(member.id());
    } else {
      members.put(member.id(), member);
    }
    changes.put(revision, member);
    notifyAll();
    return revision;
  }

  /**
   * Returns the number of changes published so far.
   *
   * @return the current revision, zero before the first change
   */
  public synchronized long revision() {
    return revision;
  }

  /**
   * Waits for a change after a revision, to serve a long poll.
   *
   * @param since the last revision that the caller knows
   * @param timeoutMillis the maximum time to wait
   * @param addressOf returns host and port of an endpoint, by name
   * @return the entries changed since that revision, as JSON; no entries after a timeout
   */
  synchronized String awaitChangesSince(
      long since, long timeoutMillis, Function<String, String> addressOf)
      throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    long remainingMillis = timeoutMillis;
    while (revision <= since && remainingMillis > 0) {
      wait(remainingMillis);
      remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
    }
    Map<String, Member> changed = new LinkedHashMap<>();
    changes.tailMap(since, false).values().forEach(member -> changed.put(member.id(), member));
    return toJson(false, new ArrayList<>(changed.values()), addressOf);
  }

  /** Returns the complete list as JSON. */
  synchronized String snapshot(Function<String, String> addressOf) {
    return toJson(true, List.copyOf(members.values()), addressOf);
  }

  private String toJson(boolean complete, List<Member> listed, Function<String, String> addressOf) {
    StringBuilder json = new StringBuilder();
    json.append("{\"revision\":").append(revision);
    json.append(",\"complete\":").append(complete);
    json.append(",\"members\":[");
    String separator = "";
    for (Member member : listed) {
      json.append(separator).append(toJson(member, addressOf.apply(member.id())));
      separator = ",";
    }
    return json.append("]}").toString();
  }

  private static String toJson(Member member, String address) {
    return "{\"id\":\""
        + member.id()
        + "\",\"host_port\":\""
        + address
        + "\",\"locality\":\""
        + member.zone()
        + "\",\"cell\":"
        + member.group()
        + ",\"phase\":\""
        + member.phase()
        + "\",\"up_since_ms\":"
        + member.upSinceMillis()
        + "}";
  }
}
