package weldcross.chaos.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** All processes of one run; closing it ends them. */
public final class ManagedProcesses implements AutoCloseable {

  private final ProcessReaper reaper = new ProcessReaper();
  private final List<ManagedProcess> processes = new ArrayList<>();

  /**
   * Creates an empty set.
   *
   * @throws IOException if the process that watches over the others cannot be started
   */
  public ManagedProcesses() throws IOException {}

  /**
   * Starts a process.
   *
   * @param command program and arguments
   * @param environment variables beside those of this process
   * @param log the file that its output is appended to
   * @return the running process
   * @throws IOException if it cannot be started
   */
  public synchronized ManagedProcess start(
      List<String> command, Map<String, String> environment, Path log) throws IOException {
    ManagedProcess process = new ManagedProcess(reaper, command, environment, log);
    processes.add(process);
    return process;
  }

  @Override
  public synchronized void close() throws IOException {
    for (ManagedProcess process : processes) {
      process.kill();
    }
    reaper.close();
  }
}
