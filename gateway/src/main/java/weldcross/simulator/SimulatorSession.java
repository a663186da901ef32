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

/** Reads the simulator's batches, hands events to the instances and writes one reply per batch. */
public final class SimulatorSession {

  private static final int INPUT_BUFFER_CHARS = 1 << 16;

  private final BufferedReader input;
  private final OutputStream output;
  private final StringBuilder reply = new StringBuilder();
  private final Map<Integer, SimulatedGateway> instances = new HashMap<>();
  private final Map<Integer, List<WireLine>> pages = new HashMap<>();
  private boolean inBatch;
  private long clockMicros;

  /**
   * Creates a session; it closes neither stream.
   *
   * @param input the simulator's lines
   * @param output where replies go
   */
  public SimulatorSession(InputStream input, OutputStream output) {
    this.input =
        new BufferedReader(
            new InputStreamReader(input, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
    this.output = output;
  }

  /**
   * Answers batches until the input ends.
   *
   * @throws SimulatorProtocolException if the input does not follow the wire
   */
  public void run() throws IOException {
    for (String text = input.readLine(); text != null; text = input.readLine()) {
      if (inBatch || !text.isEmpty()) {
        read(new WireLine(text));
      }
    }
    if (inBatch) {
      throw new SimulatorProtocolException("input ended inside a batch", null);
    }
  }

  private void read(WireLine line) throws IOException {
    Integer instance = SimulatorMessageParser.instance(line);
    if (instance != null && inBatch) {
      event(instance, line);
      return;
    }
    SimulatorMessage message = SimulatorMessageParser.parse(line);
    if (message instanceof SimulatorMessage.BatchStart start) {
      clockMicros = start.clockMicros();
      inBatch = true;
    } else if (!inBatch) {
      throw line.fault("outside a batch");
    } else if (message instanceof SimulatorMessage.PageStart page) {
      pages.put(page.page(), readRows(page.rows()));
    } else {
      endBatch();
    }
  }

  private List<WireLine> readRows(int count) throws IOException {
    List<WireLine> rows = new ArrayList<>(count);
    for (int row = 0; row < count; row++) {
      String text = input.readLine();
      if (!SimulatorMessageParser.isRow(text)) {
        throw new SimulatorProtocolException("a row of an endpoint page was expected", text);
      }
      rows.add(new WireLine(text));
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

  /** Events for an instance that is not there, or that has failed, are left unread. */
  private void event(int instance, WireLine line) {
    SimulatedGateway gateway = instances.get(instance);
    boolean runs = gateway != null && !gateway.hasFailed();
    if (!runs && !SimulatorMessageParser.isStart(line)) {
      return;
    }
    SimulatorMessage message = SimulatorMessageParser.parse(line);
    if (message instanceof SimulatorMessage.Start start) {
      SimulatedGateway started = new SimulatedGateway(clockMicros, start.originMicros());
      instances.put(instance, started);
      SimulatorActions actions = new SimulatorActions(reply, instance, clockMicros);
      guard(instance, started, () -> started.start(actions, start.config(), start.seed()));
    } else if (message instanceof SimulatorMessage.Stop) {
      instances.remove(instance);
    } else if (message instanceof SimulatorMessage.EndpointListReceived list) {
      List<WireLine> rows = page(list.page(), line);
      guard(
          instance, gateway, () -> gateway.receiveEndpointList(clockMicros, list.complete(), rows));
    } else if (message instanceof SimulatorMessage.InstanceEvent event) {
      guard(instance, gateway, () -> gateway.handle(clockMicros, event));
    }
  }

  private List<WireLine> page(int page, WireLine line) {
    List<WireLine> rows = pages.get(page);
    if (rows == null) {
      throw line.fault("no such endpoint page, " + page);
    }
    return rows;
  }

  /** Runs the call; an instance that throws is reported and gets no more events. */
  private void guard(int instance, SimulatedGateway gateway, Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      gateway.setFailed();
      SimulatorActions.reportFailure(reply, instance, e);
      e.printStackTrace();
    }
  }
}
