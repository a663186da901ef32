package weldcross.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import weldcross.routing.ServerId;

class GossipMessageTest {

  @Test
  void encodedServerIsDecodedUnchanged() {
    ServerId server = new ServerId("server-ž-7");
    assertEquals(server, GossipMessage.decode(GossipMessage.encode(server)));
  }

  @Test
  void invalidMessageDecodesToNull() {
    assertNull(GossipMessage.decode(new byte[0]));
    assertNull(GossipMessage.decode(new byte[GossipMessage.MAX_BYTES + 1]));
    assertNull(GossipMessage.decode(new byte[] {(byte) 0xc3, 0x28}));
  }
}
