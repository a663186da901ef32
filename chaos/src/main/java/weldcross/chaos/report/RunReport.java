package weldcross.chaos.report;

import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import freemarker.template.TemplateExceptionHandler;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import weldcross.chaos.history.ChaosRunResult;
import weldcross.chaos.history.GatewayLogs;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker;

/** Writes the HTML report of a run. */
public final class RunReport {

  private static final String FILE_NAME = "report.html";
  private static final String TEMPLATE = "report.ftlh";
  private static final int MAX_VIOLATIONS = 20;
  private static final double NANOS_PER_SECOND = 1e9;

  private RunReport() {}

  /**
   * Writes the report into the run directory.
   *
   * @param result the result of the run
   * @param directory run directory with the logs of the gateways
   * @return the report file
   * @throws IOException if the report cannot be written
   */
  public static Path write(ChaosRunResult result, Path directory) throws IOException {
    Path report = directory.resolve(FILE_NAME);
    try (Writer out = Files.newBufferedWriter(report, StandardCharsets.UTF_8)) {
      templates().getTemplate(TEMPLATE).process(model(result, directory), out);
    } catch (TemplateException e) {
      throw new IOException("cannot render report template " + TEMPLATE, e);
    }
    return report;
  }

  private static Configuration templates() {
    Configuration templates = new Configuration(Configuration.VERSION_2_3_33);
    templates.setClassForTemplateLoading(RunReport.class, "/weldcross/chaos");
    templates.setDefaultEncoding("UTF-8");
    templates.setLocale(Locale.ROOT);
    templates.setNumberFormat("0.###");
    templates.setTemplateExceptionHandler(TemplateExceptionHandler.RETHROW_HANDLER);
    templates.setLogTemplateExceptions(false);
    return templates;
  }

  private static Map<String, Object> model(ChaosRunResult result, Path directory)
      throws IOException {
    Map<String, Object> model = new HashMap<>();
    model.put("statistics", new RunStatistics(result));
    model.put("name", result.scenario().name());
    model.put("about", result.scenario().description());
    model.put("seed", Long.toString(result.seed()));
    model.put("rate", result.scenario().rate());
    model.put("schedule", result.scenario().toml());
    model.put("restarts", result.restarts());
    model.put("faults", result.history().faults().stream().map(RunReport::faultRow).toList());
    model.put("violations", violationRows(result.violations(), directory));
    model.put("violationCount", result.violations().size());
    return model;
  }

  private static List<Map<String, Object>> violationRows(
      List<HistoryChecker.Violation> violations, Path directory) throws IOException {
    List<Map<String, Object>> rows = new ArrayList<>();
    for (HistoryChecker.Violation violation :
        violations.subList(0, Math.min(MAX_VIOLATIONS, violations.size()))) {
      Map<String, Object> row = new HashMap<>();
      row.put("rule", violation.rule().description());
      row.put("request", violation.rpc());
      row.put("at", violation.at() / NANOS_PER_SECOND);
      row.put("description", violation.description());
      row.put("lines", GatewayLogs.linesFor(directory, violation.rpc()));
      rows.add(row);
    }
    return rows;
  }

  private static Map<String, Object> faultRow(History.FaultInterval fault) {
    Map<String, Object> row = new HashMap<>();
    row.put("from", fault.from() / NANOS_PER_SECOND);
    row.put("until", fault.until() / NANOS_PER_SECOND);
    row.put("description", fault.description());
    row.put("hosts", String.join(" ", fault.unresponsiveGateways()));
    return row;
  }
}
