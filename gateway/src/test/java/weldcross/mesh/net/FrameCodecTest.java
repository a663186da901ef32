package weldcross.mesh.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.filter.codec.ProtocolDecoderException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import weldcross.mesh.wire.Frame;

class FrameCodecTest {

  private static final Frame FRAME = MeshMessages.heartbeat(7);

  @Test
  void encodedFrameIsDecodedUnchanged() throws ProtocolDecoderException {
    assertEquals(Optional.of(FRAME), FrameCodec.decode(FrameCodec.encode(FRAME)));
  }

  @Test
  void incompleteFrameIsLeftInTheBuffer() throws ProtocolDecoderException {
    byte[] encoded = new byte[FrameCodec.encode(FRAME).remaining()];
    FrameCodec.encode(FRAME).get(encoded);
    for (int length = 0; length < encoded.length; length++) {
      IoBuffer part = IoBuffer.wrap(encoded, 0, length);
      assertEquals(Optional.empty(), FrameCodec.decode(part));
      assertEquals(length, part.remaining());
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {-1, Integer.MIN_VALUE, FrameCodec.MAX_FRAME_BYTES + 1, Integer.MAX_VALUE})
  void lengthOutOfRangeIsRejectedBeforeTheBodyIsReceived(int length) {
    IoBuffer in = IoBuffer.allocate(Integer.BYTES).putInt(length).flip();
    assertThrows(ProtocolDecoderException.class, () -> FrameCodec.decode(in));
  }

  @Test
  void invalidBodyIsRejected() {
    IoBuffer in = IoBuffer.wrap(new byte[] {0, 0, 0, 3, 9, 9, 9});
    assertThrows(ProtocolDecoderException.class, () -> FrameCodec.decode(in));
  }
}
