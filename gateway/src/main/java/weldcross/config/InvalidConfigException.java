package weldcross.config;

/** Thrown if a configured value is invalid; the message contains its key. */
public final class InvalidConfigException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception for one key.
   *
   * @param key full key, file name or environment variable
   * @param found the value, or a description of the problem
   * @param allowed description of the allowed values
   */
  public InvalidConfigException(String key, String found, String allowed) {
    super(key + ": found " + found + ", allowed is " + allowed);
  }

  /**
   * Creates an exception for a document that cannot be parsed.
   *
   * @param message description of the problem
   */
  InvalidConfigException(String message) {
    super(message);
  }
}
