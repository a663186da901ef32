package weldcross.fakes;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/** Discovery's list of servers, numbered by its changes. */
public final class FakeDiscoveryCatalog {

  /**
   * @param phase active, leaving or left
   */
  public record Member(String id, int group, String zone, String phase, long upSinceMillis) {}

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final TreeMap<Long, Member> changes = new TreeMap<>();
  private long revision;

  public synchronized long set(Member member) {
    revision++;
    if (member.phase().equals("left")) {
      members.remove(member.id());
    } else {
      members.put(member.id(), member);
    }
    changes.put(revision, member);
    notifyAll();
    return revision;
  }

  public synchronized long revision() {
    return revision;
  }

  /** Waits until something newer is there, or so long; the list then, as discovery words it. */
  synchronized String after(long since, long millis, Function<String, String> address)
      throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    for (long left = millis;
        revision <= since && left > 0;
        left = (until - System.nanoTime()) / 1_000_000) {
      wait(left);
    }
    Map<String, Member> changed = new LinkedHashMap<>();
    changes.tailMap(since, false).values().forEach(m -> changed.put(m.id(), m));
    return text(false, new ArrayList<>(changed.values()), address);
  }

  synchronized String whole(Function<String, String> address) {
    return text(true, List.copyOf(members.values()), address);
  }

  private String text(boolean complete, List<Member> of, Function<String, String> address) {
    StringBuilder text =
        new StringBuilder(
            "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[");
    for (Member m : of) {
      text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
          .append("{\"id\":\"")
          .append(m.id())
          .append("\",\"host_port\":\"")
          .append(address.apply(m.id()))
          .append("\",\"locality\":\"")
          .append(m.zone())
          .append("\",\"cell\":")
          .append(m.group())
          .append(",\"phase\":\"")
          .append(m.phase())
          .append("\",\"up_since_ms\":")
          .append(m.upSinceMillis())
          .append('}');
    }
    return text.append("]}").toString();
  }
}
