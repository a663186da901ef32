package weldcross.chaos.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * A child process of a run, which can be sent signals. Its output is appended to a log file that
 * all restarts of the process share.
 */
public final class ManagedProcess {

  /** The maximum time until the effect of a signal is visible. */
  private static final Duration SIGNAL_TIMEOUT = Duration.ofSeconds(10);

  /** The state of a stopped process in {@code /proc/PID/stat}. */
  private static final char STATE_STOPPED = 'T';

  private static final char STATE_UNKNOWN = '?';

  private final Process process;
  private final ProcessReaper reaper;

  ManagedProcess(
      ProcessReaper reaper, List<String> command, Map<String, String> environment, Path log)
      throws IOException {
    this.reaper = reaper;
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().putAll(environment);
    process = builder.start();
    reaper.register(process.pid());
  }

  /**
   * Returns the process id.
   *
   * @return the process id
   */
  public long id() {
    return process.pid();
  }

  /**
   * Returns whether the process has not exited.
   *
   * @return true while the process runs or is stopped by a signal
   */
  public boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Returns the exit status.
   *
   * @return the exit status; empty while the process is alive
   */
  public OptionalInt exitStatus() {
    return process.isAlive() ? OptionalInt.empty() : OptionalInt.of(process.exitValue());
  }

  /**
   * Sends SIGTERM and returns at once.
   *
   * @throws IOException if the signal cannot be sent
   */
  public void terminate() throws IOException {
    signal("TERM");
  }

  /**
   * Sends SIGHUP and returns at once.
   *
   * @throws IOException if the signal cannot be sent
   */
  public void hangUp() throws IOException {
    signal("HUP");
  }

  /**
   * Sends SIGKILL and waits for the process to exit.
   *
   * @throws IOException if the signal cannot be sent
   */
  public void kill() throws IOException {
    if (process.isAlive()) {
      signal("KILL");
      awaitExit(SIGNAL_TIMEOUT);
    }
  }

  /**
   * Sends SIGSTOP and waits until the process is stopped.
   *
   * @throws IOException if the signal cannot be sent or has no effect within the timeout
   */
  public void pause() throws IOException {
    signal("STOP");
    Await.until(
        "process " + id() + " stopped",
        SIGNAL_TIMEOUT,
        () -> state() == STATE_STOPPED || !isAlive());
  }

  /**
   * Sends SIGCONT and waits until the process is no longer stopped.
   *
   * @throws IOException if the signal cannot be sent or has no effect within the timeout
   */
  public void resume() throws IOException {
    signal("CONT");
    Await.until("process " + id() + " resumed", SIGNAL_TIMEOUT, () -> state() != STATE_STOPPED);
  }

  /**
   * Returns the process state as shown in {@code /proc/PID/stat}.
   *
   * @return R, S, T and so on; '?' if there is no such process
   */
  public char state() {
    try {
      String stat = Files.readString(Path.of("/proc/" + id() + "/stat"));
      return stat.charAt(stat.lastIndexOf(')') + 2);
    } catch (IOException e) {
      return STATE_UNKNOWN;
    }
  }

  /**
   * Waits for the process to exit.
   *
   * @param timeout the maximum time to wait
   * @return whether the process has exited
   * @throws IOException if the waiting thread is interrupted
   */
  public boolean awaitExit(Duration timeout) throws IOException {
    try {
      boolean exited = process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
      if (exited) {
        reaper.unregister(id());
      }
      return exited;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting for process " + id(), e);
    }
  }

  private void signal(String name) throws IOException {
    try {
      int status =
          new ProcessBuilder("kill", "-" + name, Long.toString(id()))
              .redirectErrorStream(true)
              .start()
              .waitFor();
      if (status != 0 && process.isAlive()) {
        throw new IOException("kill -" + name + " " + id() + " exited with status " + status);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while sending " + name + " to process " + id(), e);
    }
  }
}
