package weldcross.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads batches of events from the simulator, dispatches the events to the instances and writes one
 * reply per batch.
 */
public final class SimulatorSession {

  private static final int INPUT_BUFFER_CHARS = 1 << 16;

  private final BufferedReader input;
  private final OutputStream output;
  private final StringBuilder reply = new StringBuilder();
  private final Map<Integer, SimulatedGateway> instances = new HashMap<>();
  private final Map<Integer, List<ProtocolLine>> pages = new HashMap<>();
  private boolean inBatch;
  private long clockMicros;

  /**
   * Creates a session, which closes neither stream.
   *
   * @param input stream of messages from the simulator
   * @param output stream to which replies are written
   */
  public SimulatorSession(InputStream input, OutputStream output) {
    this.input =
        new BufferedReader(
            new InputStreamReader(input, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
    this.output = output;
  }

  /**
   * Processes batches until the input ends.
   *
   * @throws SimulatorProtocolException if the input violates the protocol
   */
  public void run() throws IOException {
    for (String text = input.readLine(); text != null; text = input.readLine()) {
      if (inBatch || !text.isEmpty()) {
        process(new ProtocolLine(text));
      }
    }
    if (inBatch) {
      throw new SimulatorProtocolException("input ended inside a batch", null);
    }
  }

  private void process(ProtocolLine line) throws IOException {
    Integer instance = SimulatorMessageParser.targetInstance(line);
    if (instance != null && inBatch) {
      dispatch(instance, line);
      return;
    }
    SimulatorMessage message = SimulatorMessageParser.parse(line);
    if (message instanceof SimulatorMessage.BatchStart start) {
      clockMicros = start.clockMicros();
      inBatch = true;
    } else if (!inBatch) {
      throw line.error("message outside a batch");
    } else if (message instanceof SimulatorMessage.PageStart page) {
      pages.put(page.page(), readRows(page.rows()));
    } else {
      endBatch();
    }
  }

  private List<ProtocolLine> readRows(int count) throws IOException {
    List<ProtocolLine> rows = new ArrayList<>(count);
    for (int row = 0; row < count; row++) {
      String text = input.readLine();
      if (!SimulatorMessageParser.isRow(text)) {
        throw new SimulatorProtocolException("expected a row of an endpoint page", text);
      }
      rows.add(new ProtocolLine(text));
    }
    return rows;
  }

  private void endBatch() throws IOException {
    SimulatorActions.endReply(reply);
    output.write(reply.toString().getBytes(StandardCharsets.UTF_8));
    output.flush();
    reply.setLength(0);
    inBatch = false;
  }

  /** Dispatches an event; one for an instance that is absent or has failed is skipped unparsed. */
  private void dispatch(int instance, ProtocolLine line) {
    SimulatedGateway gateway = instances.get(instance);
    boolean running = gateway != null && !gateway.hasFailed();
    if (!running && !SimulatorMessageParser.isStart(line)) {
      return;
    }
    SimulatorMessage message = SimulatorMessageParser.parse(line);
    if (message instanceof SimulatorMessage.Start start) {
      SimulatedGateway started = new SimulatedGateway(clockMicros, start.originMicros());
      instances.put(instance, started);
      SimulatorActions actions = new SimulatorActions(reply, instance, clockMicros);
      runOrMarkFailed(
          instance, started, () -> started.start(actions, start.config(), start.seed()));
    } else if (message instanceof SimulatorMessage.Stop) {
      instances.remove(instance);
    } else if (message instanceof SimulatorMessage.EndpointListReceived list) {
      List<ProtocolLine> rows = page(list.page(), line);
      runOrMarkFailed(
          instance, gateway, () -> gateway.receiveEndpointList(clockMicros, list.complete(), rows));
    } else if (message instanceof SimulatorMessage.InstanceEvent event) {
      runOrMarkFailed(instance, gateway, () -> gateway.handle(clockMicros, event));
    }
  }

  private List<ProtocolLine> page(int page, ProtocolLine line) {
    List<ProtocolLine> rows = pages.get(page);
    if (rows == null) {
      throw line.error("unknown endpoint page: " + page);
    }
    return rows;
  }

  /** Runs a call; if it throws, the instance is reported as failed and gets no further events. */
  private void runOrMarkFailed(int instance, SimulatedGateway gateway, Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      gateway.markFailed();
      SimulatorActions.reportFailure(reply, instance, e);
      e.printStackTrace();
    }
  }
}
