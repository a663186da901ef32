package weldcross.cli;

import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Help.Ansi;
import picocli.CommandLine.Help.Column;
import picocli.CommandLine.Help.TextTable;
import weldcross.config.ConfigValues;

/** Renders the cluster status of a gateway as text; columns are named after the JSON keys. */
final class ClusterStatusTable {

  private static final String ABSENT = "-";

  private ClusterStatusTable() {}

  /**
   * Returns the lines of a status.
   *
   * @param status parsed response of the control endpoint
   */
  static List<String> lines(ConfigValues status) {
    List<String> lines = new ArrayList<>();
    lines.add(summary(status));
    if (!status.text("disk", "").isEmpty()) {
      lines.add("disk: " + status.text("disk"));
    }
    lines.addAll(table(status).toString().lines().toList());
    return lines;
  }

  private static String summary(ConfigValues status) {
    return status.text("self")
        + " of "
        + status.text("group")
        + ": view "
        + status.text("view")
        + ", "
        + status.text("phase")
        + ", "
        + leader(status)
        + ", share "
        + status.text("share")
        + (status.text("voter", "").isEmpty() ? "" : ", voter " + status.text("voter"));
  }

  private static String leader(ConfigValues status) {
    long ageMillis = status.integer("leader_age_ms", -1, -1);
    return ageMillis < 0
        ? "no known leader"
        : "leader " + status.text("leader", "?") + " as of " + ageMillis + " ms ago";
  }

  private static TextTable table(ConfigValues status) {
    TextTable table =
        TextTable.forColumns(
            CommandLine.Help.defaultColorScheme(Ansi.OFF),
            column(20, 0),
            column(9, 1),
            column(7, 1),
            column(8, 1),
            column(10, 1),
            column(6, 1),
            column(10, 1),
            column(6, 1),
            column(6, 1));
    table.addRowValues(
        "gateway", "seen", "life", "agreed", "zone", "part", "heard", "link", "votes");
    for (int index = 0; index < status.count("gateways"); index++) {
      table.addRowValues(row(status.subtree("gateways." + index)));
    }
    return table;
  }

  private static Column column(int width, int indent) {
    return new Column(width, indent, Column.Overflow.SPAN);
  }

  private static String[] row(ConfigValues gateway) {
    long heardMillis = gateway.integer("heard_ms", -1, -1);
    String agreed = gateway.text("agreed");
    return new String[] {
      gateway.text("name"),
      gateway.text("seen"),
      gateway.text("life"),
      agreed.equals("0") ? ABSENT : agreed,
      gateway.text("zone", ABSENT),
      gateway.text("part"),
      heardMillis < 0 ? ABSENT : heardMillis + " ms",
      gateway.text("link", ABSENT),
      gateway.flag("votes", false) ? "yes" : ABSENT
    };
  }
}
