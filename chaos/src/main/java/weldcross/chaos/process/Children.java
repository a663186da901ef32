package weldcross.chaos.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** All processes of one trial. */
public final class Children implements AutoCloseable {

  private final Reaper reaper = new Reaper();
  private final List<Child> all = new ArrayList<>();

  public Children() throws IOException {}

  public synchronized Child start(List<String> command, Map<String, String> environment, Path log)
      throws IOException {
    Child child = new Child(reaper, command, environment, log);
    all.add(child);
    return child;
  }

  @Override
  public synchronized void close() throws IOException {
    for (Child child : all) {
      child.kill();
    }
    reaper.close();
  }
}
