package weldcross.mesh.net;

import com.google.protobuf.InvalidProtocolBufferException;
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
 * Frames on a stream: their length in four bytes, then the message. What is too long is never
 * gathered.
 */
final class FrameCodec {

  /** Beyond a message's content, what a frame may take. */
  private static final int AROUND = 1 << 10;

  static final int LONGEST = MeshConfig.LONGEST + AROUND;

  private FrameCodec() {}

  static ProtocolCodecFilter filter() {
    return new ProtocolCodecFilter(
        new ProtocolEncoderAdapter() {
          @Override
          public void encode(IoSession session, Object message, ProtocolEncoderOutput out) {
            out.write(bytes((Frame) message));
          }
        },
        new CumulativeProtocolDecoder() {
          @Override
          protected boolean doDecode(IoSession session, IoBuffer in, ProtocolDecoderOutput out)
              throws ProtocolDecoderException {
            Frame frame = read(in);
            if (frame != null) {
              out.write(frame);
            }
            return frame != null;
          }
        });
  }

  static IoBuffer bytes(Frame frame) {
    byte[] body = frame.toByteArray();
    return IoBuffer.allocate(4 + body.length).putInt(body.length).put(body).flip();
  }

  /** Null where there is none whole yet. */
  static Frame read(IoBuffer in) throws ProtocolDecoderException {
    if (in.remaining() < 4) {
      return null;
    }
    int length = in.getInt(in.position());
    if (length < 0 || length > LONGEST) {
      throw new ProtocolDecoderException("a frame of " + length + " bytes");
    }
    if (in.remaining() < 4 + length) {
      return null;
    }
    byte[] body = new byte[length];
    in.getInt();
    in.get(body);
    try {
      return Frame.parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      throw new ProtocolDecoderException("no frame: " + e.getMessage());
    }
  }
}
