package weldcross.pgwire;

/** Accounts for the memory that the kept messages of one response of a server occupy. */
public interface ResponseAccount {

  /** An account without a limit. */
  ResponseAccount UNLIMITED =
      new ResponseAccount() {
        @Override
        public void add(int bytes) {}

        @Override
        public boolean admitRow(int bytes) {
          return true;
        }

        @Override
        public boolean admitWaiting() {
          return true;
        }

        @Override
        public void stopWaiting() {}

        @Override
        public void release() {}
      };

  /**
   * Accounts for a message that is kept in any case.
   *
   * @param bytes the size of the message
   */
  void add(int bytes);

  /**
   * Returns whether a row may be kept, and accounts for it if so. A row that may not be kept is
   * discarded as it arrives.
   *
   * @param bytes the size of the row's message
   */
  boolean admitRow(int bytes);

  /**
   * Returns whether the response, which cannot be written yet, may wait for earlier ones of its
   * connection. If so, that is accounted for until {@link #stopWaiting}; otherwise the response is
   * to be dropped.
   */
  boolean admitWaiting();

  /** Records that the response is now being written. */
  void stopWaiting();

  /** Gives back all memory of the response; further calls have no effect. */
  void release();
}
