package weldcross.chaos.process;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * A part of the loopback range that belongs to one run: 127.x.y.0/24, claimed by a listening socket
 * for as long as the run lasts, so that two runs at once share no address.
 */
public final class LoopbackSubnet implements AutoCloseable {

  /** The port on host 1 of a subnet that its owner listens on. */
  private static final int CLAIM_PORT = 7999;

  private static final int FIRST_SECOND_OCTET = 64;
  private static final int SECOND_OCTETS = 64;
  private static final int THIRD_OCTETS = 250;

  private final int secondOctet;
  private final int thirdOctet;
  private final ServerSocket claim;

  private LoopbackSubnet(int secondOctet, int thirdOctet, ServerSocket claim) {
    this.secondOctet = secondOctet;
    this.thirdOctet = thirdOctet;
    this.claim = claim;
  }

  /**
   * Claims the first free subnet.
   *
   * @return the subnet, held until it is closed
   * @throws IOException if none is free
   */
  public static LoopbackSubnet claim() throws IOException {
    for (int index = 0; index < SECOND_OCTETS * THIRD_OCTETS; index++) {
      int secondOctet = FIRST_SECOND_OCTET + index / THIRD_OCTETS;
      int thirdOctet = 1 + index % THIRD_OCTETS;
      try {
        ServerSocket claim = new ServerSocket(CLAIM_PORT, 1, address(secondOctet, thirdOctet, 1));
        return new LoopbackSubnet(secondOctet, thirdOctet, claim);
      } catch (BindException e) {
        // Another run holds this one.
      }
    }
    throw new IOException("no part of the loopback range is free");
  }

  private static InetAddress address(int secondOctet, int thirdOctet, int host) throws IOException {
    return InetAddress.getByAddress(
        new byte[] {127, (byte) secondOctet, (byte) thirdOctet, (byte) host});
  }

  /**
   * Returns an address of the subnet.
   *
   * @param host its last octet, from 2 to 250
   * @return the address
   * @throws IOException never for a valid octet
   */
  public InetAddress host(int host) throws IOException {
    return address(secondOctet, thirdOctet, host);
  }

  @Override
  public String toString() {
    return "127." + secondOctet + "." + thirdOctet + ".0/24";
  }

  @Override
  public void close() throws IOException {
    claim.close();
  }
}
