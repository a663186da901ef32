package weldcross.chaos.process;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * A loopback subnet 127.x.y.0/24 reserved for one run. A listening socket holds the reservation
 * until the run ends, so that concurrent runs never share an address.
 */
public final class LoopbackSubnet implements AutoCloseable {

  /** The port on host 1 of a subnet whose listener reserves the subnet. */
  private static final int RESERVATION_PORT = 7999;

  private static final int FIRST_SECOND_OCTET = 64;
  private static final int SECOND_OCTET_COUNT = 64;
  private static final int THIRD_OCTET_COUNT = 250;

  private final int secondOctet;
  private final int thirdOctet;
  private final ServerSocket reservation;

  private LoopbackSubnet(int secondOctet, int thirdOctet, ServerSocket reservation) {
    this.secondOctet = secondOctet;
    this.thirdOctet = thirdOctet;
    this.reservation = reservation;
  }

  /**
   * Reserves the first free subnet.
   *
   * @return the subnet, reserved until it is closed
   * @throws IOException if none is free
   */
  public static LoopbackSubnet reserve() throws IOException {
    for (int index = 0; index < SECOND_OCTET_COUNT * THIRD_OCTET_COUNT; index++) {
      int secondOctet = FIRST_SECOND_OCTET + index / THIRD_OCTET_COUNT;
      int thirdOctet = 1 + index % THIRD_OCTET_COUNT;
      try {
        ServerSocket reservation =
            new ServerSocket(RESERVATION_PORT, 1, address(secondOctet, thirdOctet, 1));
        return new LoopbackSubnet(secondOctet, thirdOctet, reservation);
      } catch (BindException e) {
        // Reserved by another run.
      }
    }
    throw new IOException("no free loopback subnet");
  }

  private static InetAddress address(int secondOctet, int thirdOctet, int host) throws IOException {
    return InetAddress.getByAddress(
        new byte[] {127, (byte) secondOctet, (byte) thirdOctet, (byte) host});
  }

  /**
   * Returns an address of the subnet.
   *
   * @param host the last octet, from 2 to 250
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
    reservation.close();
  }
}
