package weldcross.chaos.process;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * A part of the loopback range that belongs to one trial: 127.x.y.0/24, claimed by a socket for as
 * long as the trial lives, so that two trials at once share no address.
 */
public final class LoopbackSubnet implements AutoCloseable {

  private static final int CLAIM = 7999;

  private final int x, y;
  private final ServerSocket claim;

  private LoopbackSubnet(int x, int y, ServerSocket claim) {
    this.x = x;
    this.y = y;
    this.claim = claim;
  }

  /** The first that nobody holds. */
  public static LoopbackSubnet claim() throws IOException {
    for (int n = 0; n < 64 * 250; n++) {
      int x = 64 + n / 250;
      int y = 1 + n % 250;
      try {
        return new LoopbackSubnet(x, y, new ServerSocket(CLAIM, 1, address(x, y, 1)));
      } catch (BindException e) {
        // Another trial's.
      }
    }
    throw new IOException("no part of the loopback range is free");
  }

  private static InetAddress address(int x, int y, int host) throws IOException {
    return InetAddress.getByAddress(new byte[] {127, (byte) x, (byte) y, (byte) host});
  }

  /**
   * @param host from 2 to 250
   */
  public InetAddress host(int host) throws IOException {
    return address(x, y, host);
  }

  @Override
  public String toString() {
    return "127." + x + "." + y + ".0/24";
  }

  @Override
  public void close() throws IOException {
    claim.close();
  }
}
