package weldcross.storage;

import java.io.IOException;

/** Thrown if a storage directory is already open, in this process or another. */
public final class DirectoryInUseException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception for a directory.
   *
   * @param directory path of the directory
   */
  public DirectoryInUseException(String directory) {
    super("storage directory is already in use: " + directory);
  }
}
