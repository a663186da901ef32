package weldcross.chaos.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Ends what a run started, also if the run itself is killed: a process of its own that is told of
 * each child and kills those it knows once its standard input ends. A child started in the instant
 * of the kill may be missed, as its id is known only after its start.
 */
final class ProcessReaper implements AutoCloseable {

  private static final String SCRIPT =
      "declare -A known; while read -r word id; do if [ \"$word\" = + ]; then "
          + "known[$id]=1; else unset \"known[$id]\"; fi; done; "
          + "for id in \"${!known[@]}\"; do kill -KILL \"$id\"; done";

  private final OutputStream commands;

  ProcessReaper() throws IOException {
    commands =
        new ProcessBuilder("setsid", "bash", "-c", SCRIPT)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start()
            .getOutputStream();
  }

  synchronized void started(long id) throws IOException {
    send("+ " + id);
  }

  synchronized void exited(long id) throws IOException {
    send("- " + id);
  }

  private void send(String line) throws IOException {
    commands.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
    commands.flush();
  }

  @Override
  public void close() throws IOException {
    commands.close();
  }
}
