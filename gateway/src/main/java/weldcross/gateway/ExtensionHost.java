package weldcross.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import weldcross.extension.ExtensionContext;
import weldcross.extension.GatewayExtension;

/** The extensions of one gateway, started in the order added and stopped in reverse. */
final class ExtensionHost {

  private final List<GatewayExtension> extensions = new ArrayList<>();

  /** Adds an extension; called before the start. */
  void add(GatewayExtension extension) {
    extensions.add(extension);
  }

  /**
   * Returns what extensions may ask of the gateway.
   *
   * @param post takes events from any thread, in the order of all other events
   */
  static ExtensionContext context(Gateway gateway, Consumer<Gateway.Event> post) {
    return new ExtensionContext() {
      @Override
      public Duration now() {
        return gateway.now();
      }

      @Override
      public void schedule(Duration when, Runnable due) {
        gateway.at(when, due);
      }

      @Override
      public void defer(Runnable next) {
        gateway.soon(next);
      }

      @Override
      public void post(Runnable event) {
        post.accept(g -> event.run());
      }

      @Override
      public void stateChanged() {
        gateway.extensionStateChanged();
      }

      @Override
      public void setQuota(double share) {
        gateway.router().setQuota(share);
      }
    };
  }

  void start(ExtensionContext context) {
    extensions.forEach(extension -> extension.start(context));
  }

  void drain() {
    extensions.forEach(GatewayExtension::drain);
  }

  void reloaded() {
    extensions.forEach(GatewayExtension::configReloaded);
  }

  /** Whether no extension holds back the gateway's readiness. */
  boolean isReady() {
    return extensions.stream().allMatch(GatewayExtension::isReady);
  }

  /** Whether no extension holds up the gateway's stop. */
  boolean isDone() {
    return extensions.stream().allMatch(GatewayExtension::isDrained);
  }

  /** Stops all extensions, the last started first. */
  void stop() {
    for (int k = extensions.size() - 1; k >= 0; k--) {
      extensions.get(k).stop();
    }
  }

  boolean isEmpty() {
    return extensions.isEmpty();
  }

  /** Describes the state of each extension, for the log. */
  String describe() {
    return extensions.stream().map(GatewayExtension::describe).collect(Collectors.joining("; "));
  }
}
