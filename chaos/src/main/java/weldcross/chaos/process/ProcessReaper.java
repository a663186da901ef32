package weldcross.chaos.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Kills the child processes of a run even if the run itself is killed. A separate process receives
 * the id of each child on its standard input, and kills the registered children at end of input. A
 * child that starts at the moment of the kill may be missed, because its id is known only after its
 * start.
 */
final class ProcessReaper implements AutoCloseable {

  private static final String SCRIPT =
      "declare -A children; while read -r command id; do if [ \"$command\" = + ]; then "
          + "children[$id]=1; else unset \"children[$id]\"; fi; done; "
          + "for id in \"${!children[@]}\"; do kill -KILL \"$id\"; done";

  private final OutputStream commands;

  ProcessReaper() throws IOException {
    commands =
        new ProcessBuilder("setsid", "bash", "-c", SCRIPT)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start()
            .getOutputStream();
  }

  synchronized void register(long id) throws IOException {
    send("+ " + id);
  }

  synchronized void unregister(long id) throws IOException {
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
