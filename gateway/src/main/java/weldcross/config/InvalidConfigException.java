package weldcross.config;

/** Thrown for a configured value that cannot be used; the message names its key as written. */
public final class InvalidConfigException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception for one key.
   *
   * @param key the full key, or the file or variable that has the value
   * @param found the value as written, or what is wrong with it
   * @param allowed the values that are allowed
   */
  public InvalidConfigException(String key, String found, String allowed) {
    super(key + ": found " + found + ", allowed is " + allowed);
  }

  /**
   * Creates an exception for a document that cannot be parsed.
   *
   * @param message what is wrong with the document
   */
  InvalidConfigException(String message) {
    super(message);
  }
}
