package weldcross.mesh.net;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.CumulativeProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.filter.codec.ProtocolDecoderException;
import org.apache.mina.filter.codec.ProtocolDecoderOutput;
import org.apache.mina.filter.codec.ProtocolEncoderAdapter;
import org.apache.mina.filter.codec.ProtocolEncoderOutput;
import weldcross.mesh.MeshConfig;
import weldcross.mesh.wire.Frame;

/**
 * Encodes and decodes frames on a stream: a four-byte big-endian length, followed by a Protocol
 * Buffers message. A frame whose length exceeds the maximum is rejected before its body is
 * buffered.
 */
final class FrameCodec {

  /** Maximum size of a frame beyond the content of its message. */
  private static final int MAX_OVERHEAD_BYTES = 1 << 10;

  static final int MAX_FRAME_BYTES = MeshConfig.MAX_MESSAGE_BYTES + MAX_OVERHEAD_BYTES;

  private FrameCodec() {}

  static ProtocolCodecFilter filter() {
    return new ProtocolCodecFilter(new FrameEncoder(), new FrameDecoder());
  }

  private static final class FrameEncoder extends ProtocolEncoderAdapter {
    @Override
    public void encode(IoSession session, Object message, ProtocolEncoderOutput out) {
      out.write(FrameCodec.encode((Frame) message));
    }
  }

  private static final class FrameDecoder extends CumulativeProtocolDecoder {
    @Override
    protected boolean doDecode(IoSession session, IoBuffer in, ProtocolDecoderOutput out)
        throws ProtocolDecoderException {
      Optional<Frame> frame = FrameCodec.decode(in);
      frame.ifPresent(out::write);
      return frame.isPresent();
    }
  }

  static IoBuffer encode(Frame frame) {
    byte[] body = frame.toByteArray();
    return IoBuffer.allocate(Integer.BYTES + body.length).putInt(body.length).put(body).flip();
  }

  /**
   * Reads one frame; empty if it is not complete yet.
   *
   * @throws ProtocolDecoderException if the length is out of range or the body is not a valid frame
   */
  static Optional<Frame> decode(IoBuffer in) throws ProtocolDecoderException {
    if (in.remaining() < Integer.BYTES) {
      return Optional.empty();
    }
    int length = in.getInt(in.position());
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new ProtocolDecoderException(
          "frame length " + length + " is outside the range 0 to " + MAX_FRAME_BYTES);
    }
    if (in.remaining() < Integer.BYTES + length) {
      return Optional.empty();
    }
    byte[] body = new byte[length];
    in.getInt();
    in.get(body);
    try {
      return Optional.of(Frame.parseFrom(body));
    } catch (InvalidProtocolBufferException e) {
      throw new ProtocolDecoderException("body of " + length + " bytes is not a valid frame", e);
    }
  }
}
