package weldcross.storage;

import java.io.IOException;

/** A storage directory is already open, in this process or another. */
public final class DirectoryInUseException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Names the directory.
   *
   * @param directory its path
   */
  public DirectoryInUseException(String directory) {
    super("in use by another process: " + directory);
  }
}
