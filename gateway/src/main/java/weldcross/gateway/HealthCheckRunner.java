package weldcross.gateway;

import java.nio.ByteBuffer;
import java.util.logging.Logger;
import weldcross.config.GatewayConfig;
import weldcross.pgwire.MessageEncoder;
import weldcross.pgwire.ServerResponse;
import weldcross.routing.AttemptOutcome;
import weldcross.routing.ServerId;

/** Sends the health checks that the router requests and reports their results to it. */
final class HealthCheckRunner {

  /** The query if health checks return a load report. */
  private static final String STATISTICS_QUERY = "SHOW stats";

  /** The query if health checks return no load report. */
  private static final String MINIMAL_QUERY = "SELECT 1";

  private static final Logger LOG = Logger.getLogger(HealthCheckRunner.class.getName());

  private final Gateway gateway;
  private final GatewayConfig config;
  private final ServerReports reports;

  /** Accounts for the responses to health checks, which no client waits for. */
  private final ResponseMemory.ClientAccount memory;

  HealthCheckRunner(Gateway gateway, GatewayConfig config, ServerReports reports) {
    this.gateway = gateway;
    this.config = config;
    this.reports = reports;
    this.memory = gateway.responseMemory().openAccount();
  }

  /** Sends one health check, whose result is reported to the router. */
  void send(ServerId server) {
    LOG.fine(() -> "health check sent: endpoint=" + server.name());
    gateway.serverConnections().send(server, new HealthCheck(server));
  }

  private final class HealthCheck extends ServerRequest {
    private final ServerId server;

    HealthCheck(ServerId server) {
      this.server = server;
    }

    @Override
    ByteBuffer[] message() {
      String query = config.healthCheckReportsLoad() ? STATISTICS_QUERY : MINIMAL_QUERY;
      return new ByteBuffer[] {MessageEncoder.query(query)};
    }

    @Override
    boolean maySend() {
      return true;
    }

    @Override
    boolean isAnsweredPromptly() {
      return true;
    }

    @Override
    String commandTag() {
      return null;
    }

    @Override
    ResponseMemory.ClientAccount responseMemory() {
      return memory;
    }

    @Override
    void completed(AttemptOutcome outcome, ServerResponse response) {
      gateway.router().healthCheckEnded(gateway.now(), server, outcome, connectedSince);
      if (outcome == AttemptOutcome.OK) {
        reports.loadReportReceived(
            server, config.healthCheckReportsLoad() ? response.rowText() : response.loadReport());
      }
    }
  }
}
