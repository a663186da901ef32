package weldcross.chaos.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Ends what a trial started, also where the trial itself is killed: a process of its own that is
 * told of each child and ends those it knows once it hears no more. A child started in the instant
 * of the kill may be missed: it is told of as soon as its id is known.
 */
final class ProcessReaper implements AutoCloseable {

  private static final String SCRIPT =
      "declare -A known; while read -r word id; do if [ \"$word\" = + ]; then "
          + "known[$id]=1; else unset \"known[$id]\"; fi; done; for id in \"${!known[@]}\"; do kill -KILL \"$id\"; done";

  private final Process process;
  private final OutputStream words;

  ProcessReaper() throws IOException {
    process =
        new ProcessBuilder("setsid", "bash", "-c", SCRIPT)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    words = process.getOutputStream();
  }

  synchronized void born(long id) throws IOException {
    say("+ " + id);
  }

  synchronized void ended(long id) throws IOException {
    say("- " + id);
  }

  private void say(String line) throws IOException {
    words.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
    words.flush();
  }

  @Override
  public void close() throws IOException {
    words.close();
  }
}
