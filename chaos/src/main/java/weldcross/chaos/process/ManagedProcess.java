package weldcross.chaos.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/** A process that a run started, with signals; its output goes to a file shared by its restarts. */
public final class ManagedProcess {

  /** How long the system may take to show the effect of a signal. */
  private static final Duration SIGNAL_TIMEOUT = Duration.ofSeconds(10);

  private static final char STOPPED = 'T';
  private static final char UNKNOWN = '?';

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
    reaper.started(process.pid());
  }

  /**
   * Returns the id that the system gave it.
   *
   * @return its process id
   */
  public long id() {
    return process.pid();
  }

  /**
   * Returns whether it has not ended.
   *
   * @return true while it runs, also while it is stopped
   */
  public boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Returns how it ended.
   *
   * @return its exit status; empty while it lives
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
   * Sends SIGKILL and waits for its end.
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
   * Sends SIGSTOP and waits until the system shows it stopped.
   *
   * @throws IOException if the signal cannot be sent or does not act in time
   */
  public void pause() throws IOException {
    signal("STOP");
    Await.until(
        "process " + id() + " stopped", SIGNAL_TIMEOUT, () -> state() == STOPPED || !isAlive());
  }

  /**
   * Sends SIGCONT and waits until the system no longer shows it stopped.
   *
   * @throws IOException if the signal cannot be sent or does not act in time
   */
  public void resume() throws IOException {
    signal("CONT");
    Await.until("process " + id() + " continues", SIGNAL_TIMEOUT, () -> state() != STOPPED);
  }

  /**
   * Returns its state as the system has it.
   *
   * @return R, S, T and so on; '?' if there is no such process
   */
  public char state() {
    try {
      String stat = Files.readString(Path.of("/proc/" + id() + "/stat"));
      return stat.charAt(stat.lastIndexOf(')') + 2);
    } catch (IOException e) {
      return UNKNOWN;
    }
  }

  /**
   * Waits for its end.
   *
   * @param timeout how long to wait at most
   * @return whether it has ended
   * @throws IOException if the waiting thread is interrupted
   */
  public boolean awaitExit(Duration timeout) throws IOException {
    try {
      boolean exited = process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
      if (exited) {
        reaper.exited(id());
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
        throw new IOException("kill -" + name + " " + id() + " ended with " + status);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while sending " + name + " to process " + id(), e);
    }
  }
}
