package weldcross.chaos.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The child processes of one run; closing this kills all of them. */
public final class ManagedProcesses implements AutoCloseable {

  private final ProcessReaper reaper = new ProcessReaper();
  private final List<ManagedProcess> processes = new ArrayList<>();

  /**
   * Creates an empty set.
   *
   * @throws IOException if the {@link ProcessReaper} cannot be started
   */
  public ManagedProcesses() throws IOException {}

  /**
   * Starts a process.
   *
   * @param command the program and its arguments
   * @param environment variables added to the environment of this process
   * @param log the file to which the output is appended
   * @return the running process
   * @throws IOException if the process cannot be started
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
