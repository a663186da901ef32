package weldcross.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class ClusterStatusTableTest {

  private static final String STATUS =
      """
      {"self": "n0", "group": "here/n0,n1", "view": 4, "phase": "MEMBER", "share": 0.5,
       "leader": "n1", "leader_age_ms": 120, "voter": "FOLLOWER", "disk": "",
       "gateways": [
         {"name": "n0", "seen": "HERE", "life": 2, "agreed": 2, "zone": "a", "part": 1000,
          "votes": true},
         {"name": "n1", "seen": "SILENT", "life": 3, "agreed": 0, "part": 500, "heard_ms": 80,
          "link": "up"}]}
      """;

  private static List<String> lines(String json) {
    return ClusterStatusTable.lines(ControlClient.parse(json)).stream()
        .map(line -> line.strip().replaceAll(" +", " "))
        .toList();
  }

  @Test
  void statusHasSummaryLineAndOneRowPerGateway() {
    assertEquals(
        List.of(
            "n0 of here/n0,n1: view 4, MEMBER, leader n1 as of 120 ms ago, share 0.5, "
                + "voter FOLLOWER",
            "gateway seen life agreed zone part heard link votes",
            "n0 HERE 2 2 a 1000 - - yes",
            "n1 SILENT 3 - - 500 80 ms up -"),
        lines(STATUS));
  }

  @Test
  void diskFailureHasItsOwnLine() {
    assertEquals(
        "disk: full", lines(STATUS.replace("\"disk\": \"\"", "\"disk\": \"full\"")).get(1));
  }

  @Test
  void unknownLeaderIsShownInSummary() {
    String summary =
        lines(STATUS.replace("\"leader_age_ms\": 120", "\"leader_age_ms\": -1")).get(0);
    assertEquals(
        "n0 of here/n0,n1: view 4, MEMBER, no known leader, share 0.5, voter FOLLOWER", summary);
  }
}
