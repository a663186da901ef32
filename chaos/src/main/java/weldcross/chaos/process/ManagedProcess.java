package weldcross.chaos.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** One process that a trial started, with signals, and its log in a file that its lives share. */
public final class ManagedProcess {

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
    reaper.born(process.pid());
  }

  public long id() {
    return process.pid();
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** Null while it lives. */
  public Integer status() {
    return process.isAlive() ? null : process.exitValue();
  }

  public void term() throws IOException {
    signal("TERM");
  }

  /** Returns once it is gone. */
  public void kill() throws IOException {
    if (process.isAlive()) {
      signal("KILL");
      await(Duration.ofSeconds(10));
    }
  }

  /** Returns once the system shows it stopped. */
  public void pause() throws IOException {
    signal("STOP");
    until(
        "process " + id() + " stopped", Duration.ofSeconds(10), () -> state() == 'T' || !isAlive());
  }

  /** Returns once the system no longer shows it stopped. */
  public void resume() throws IOException {
    signal("CONT");
    until("process " + id() + " goes on", Duration.ofSeconds(10), () -> state() != 'T');
  }

  /** As the system has it: R, S, T and so on; '?' where there is none. */
  public char state() {
    try {
      String stat = Files.readString(Path.of("/proc/" + id() + "/stat"));
      return stat.charAt(stat.lastIndexOf(')') + 2);
    } catch (IOException e) {
      return '?';
    }
  }

  /** Milliseconds of processor time, or zero where that cannot be told. */
  public long cpuMillis() {
    return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
  }

  public boolean await(Duration most) throws IOException {
    try {
      boolean gone = process.waitFor(most.toMillis(), TimeUnit.MILLISECONDS);
      if (gone) {
        reaper.ended(id());
      }
      return gone;
    } catch (InterruptedException e) {
      throw new IOException(e);
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
      throw new IOException(e);
    }
  }

  /** Waits for a condition, bounded; looked at every few milliseconds. */
  public static void until(String what, Duration most, BooleanSupplier condition)
      throws IOException {
    long end = System.nanoTime() + most.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IOException("not within " + most.toMillis() + " ms: " + what);
      }
      java.util.concurrent.locks.LockSupport.parkNanos(5_000_000);
    }
  }
}
