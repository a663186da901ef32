package weldcross.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.GatheringByteChannel;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferWrapper;

/**
 * Several buffers that MINA takes for one, and {@link GatheringIoProcessor} writes by one call,
 * uncopied.
 */
class CompositeBuffer extends IoBufferWrapper {

  private final ByteBuffer[] parts;

  CompositeBuffer(ByteBuffer... parts) {
    super(IoBuffer.wrap(parts[0]));
    this.parts = parts;
  }

  long writeTo(GatheringByteChannel channel) throws IOException {
    return channel.write(parts);
  }

  /**
   * MINA writes a duplicate of what it is given, and a wrapper's duplicate is one of its first part
   * alone.
   */
  @Override
  public IoBuffer duplicate() {
    return this;
  }

  @Override
  public int remaining() {
    int left = 0;
    for (ByteBuffer part : parts) {
      left += part.remaining();
    }
    return left;
  }

  @Override
  public boolean hasRemaining() {
    return remaining() > 0;
  }
}
