package weldcross.chaos.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.module.SimpleModule;
import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import freemarker.template.TemplateExceptionHandler;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import weldcross.chaos.ChaosRun;
import weldcross.chaos.history.History;
import weldcross.chaos.history.HistoryChecker;

/** A trial's page, and its evidence as a file, from which the page can be made again. */
public final class Report {

  private static final String EVIDENCE = "trial.json";
  private static final String PAGE = "report.html";
  private static final int MOST_BREACHES = 20;

  private Report() {}

  private static ObjectMapper mapper() {
    SimpleModule times = new SimpleModule();
    times.addSerializer(
        Duration.class, new com.fasterxml.jackson.databind.ser.std.ToStringSerializer());
    times.addDeserializer(
        Duration.class,
        new com.fasterxml.jackson.databind.deser.std.FromStringDeserializer<>(Duration.class) {
          private static final long serialVersionUID = 1;

          @Override
          protected Duration _deserialize(
              String text, com.fasterxml.jackson.databind.DeserializationContext in) {
            return Duration.parse(text);
          }
        });
    return new ObjectMapper()
        .registerModule(times)
        .configure(SerializationFeature.FAIL_ON_EMPTY_BEANS, false)
        .configure(
            com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
            false);
  }

  public static void keep(ChaosRun.Result trial, Path directory) throws IOException {
    mapper().writeValue(directory.resolve(EVIDENCE).toFile(), trial);
  }

  public static ChaosRun.Result kept(Path directory) throws IOException {
    return mapper().readValue(directory.resolve(EVIDENCE).toFile(), ChaosRun.Result.class);
  }

  /** Writes the page; returns where it is. */
  public static Path write(ChaosRun.Result trial, Path directory) throws IOException {
    Configuration templates = new Configuration(Configuration.VERSION_2_3_33);
    templates.setClassForTemplateLoading(Report.class, "/weldcross/chaos");
    templates.setDefaultEncoding("UTF-8");
    templates.setLocale(Locale.ROOT);
    templates.setNumberFormat("0.###");
    templates.setTemplateExceptionHandler(TemplateExceptionHandler.RETHROW_HANDLER);
    templates.setLogTemplateExceptions(false);
    Map<String, Object> model = new HashMap<>();
    model.put("figures", new LatencyStatistics(trial));
    model.put("name", trial.played().name());
    model.put("about", trial.played().about());
    model.put("seed", Long.toString(trial.seed()));
    model.put("rate", trial.played().rate());
    model.put("schedule", trial.played().toml());
    model.put("ready", trial.ready());
    model.put("troubles", trial.evidence().troubles().stream().map(Report::row).toList());
    List<Map<String, Object>> breaches = new ArrayList<>();
    for (HistoryChecker.Breach each :
        trial.breaches().subList(0, Math.min(MOST_BREACHES, trial.breaches().size()))) {
      breaches.add(
          Map.of(
              "rule",
              each.rule().words,
              "rpc",
              each.rpc(),
              "at",
              each.at() / 1e9,
              "what",
              each.what(),
              "lines",
              ChaosRun.lines(directory, each.rpc())));
    }
    model.put("breaches", breaches);
    model.put("breachCount", trial.breaches().size());
    Path page = directory.resolve(PAGE);
    try (Writer out = Files.newBufferedWriter(page, StandardCharsets.UTF_8)) {
      templates.getTemplate("report.ftlh").process(model, out);
    } catch (TemplateException e) {
      throw new IOException(e);
    }
    return page;
  }

  private static Map<String, Object> row(History.Trouble each) {
    return Map.of(
        "from",
        each.from() / 1e9,
        "until",
        each.until() / 1e9,
        "what",
        each.what(),
        "hosts",
        String.join(" ", each.hosts()));
  }
}
