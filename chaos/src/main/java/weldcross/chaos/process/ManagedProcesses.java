package weldcross.chaos.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** All processes of one trial. */
public final class ManagedProcesses implements AutoCloseable {

  private final ProcessReaper reaper = new ProcessReaper();
  private final List<ManagedProcess> all = new ArrayList<>();

  public ManagedProcesses() throws IOException {}

  public synchronized ManagedProcess start(
      List<String> command, Map<String, String> environment, Path log) throws IOException {
    ManagedProcess child = new ManagedProcess(reaper, command, environment, log);
    all.add(child);
    return child;
  }

  @Override
  public synchronized void close() throws IOException {
    for (ManagedProcess child : all) {
      child.kill();
    }
    reaper.close();
  }
}
