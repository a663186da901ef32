package weldcross.gateway;

import java.nio.charset.StandardCharsets;
import weldcross.config.ConfigValues;
import weldcross.config.GatewayConfig;

/** The configuration of a gateway under test, with three servers of one group. */
final class TestConfig {

  private TestConfig() {}

  /** Returns the endpoint list entry of server {@code s-<index>} at port 7000 + index. */
  static String member(int index, String phase) {
    return "{\"id\":\"s-"
        + index
        + "\",\"host_port\":\"127.0.0.1:"
        + (7000 + index)
        + "\",\"locality\":\"a\",\"cell\":0,\"phase\":\""
        + phase
        + "\",\"up_since_ms\":0}";
  }

  /**
   * Returns the configuration as JSON.
   *
   * @param replacements pairs of a text, which must occur in the configuration, and its replacement
   */
  static byte[] json(String... replacements) {
    String text =
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
            + "\"seed\":\"8c1f\","
            + "\"limits\":{\"sockets\":1024},\"peer_listen\":\"127.0.0.1:7946\","
            + "\"peers_all\":\"127.0.0.1:7947\","
            + "\"known\":{\"revision\":1,\"complete\":true,\"members\":["
            + member(0, "active")
            + ","
            + member(1, "active")
            + ","
            + member(2, "active")
            + "]},\"settings\":{\"bounds\":{\"cancel\":true,"
            + "\"connectTimeout\":250000,\"idleClose\":30000000,\"maxRetryAfter\":500000,"
            + "\"mayProbe\":true,"
            + "\"mayTell\":true,\"parallelTries\":true,\"retryAfter\":true,\"tryLimit\":10},"
            + "\"categories\":["
            + "{\"name\":\"look\",\"effect\":\"idempotent\",\"target\":750000,\"worth\":3.0,"
            + "\"lateWorth\":0.1},"
            + "{\"name\":\"file\",\"effect\":\"at_most_once\",\"target\":600000,\"worth\":3.0,"
            + "\"lateWorth\":0.5}],"
            + "\"familyInfo\":{\"freshness\":[\"bounded\",\"write\"],\"lagAllowed\":[800000,0],"
            + "\"tokenMode\":"
            + "\"remembered\"},\"invariants\":{\"cold\":17000000,\"coldFrom\":0.29,"
            + "\"fall\":1000000,"
            + "\"fallMultiple\":2.0,\"mustAskIn\":10000000},\"nInstances\":2,"
            + "\"report\":{\"source\":\"probe\"},"
            + "\"tenants\":[{\"name\":\"acme\"}],\"zones\":[\"a\"]}}";
    for (int k = 0; k < replacements.length; k += 2) {
      if (!text.contains(replacements[k])) {
        throw new IllegalArgumentException("not in the configuration: " + replacements[k]);
      }
      text = text.replace(replacements[k], replacements[k + 1]);
    }
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the configuration that results from the JSON text of {@link #json}. */
  static GatewayConfig read(String... replacements) {
    return GatewayConfig.of(ConfigValues.ofJson(json(replacements)));
  }
}
