package io.coppershelf.platform;

import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.TimeSource;
import io.coppershelf.operator.OperatorRegistry;
import io.coppershelf.platform.internal.HttpPlatform;
import io.coppershelf.settings.Settings;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;

/** The component that reads the platform. Requires {@link Settings} in the registry before {@link #register}. */
public final class PlatformComponent implements Component {
    private Optional<HttpPlatform> platform = Optional.empty();

    @Override
    public String name() {
        return "platform";
    }

    @Override
    public void register(ComponentRegistry registry) {
        Settings settings = registry.require(Settings.NAME);
        TimeSource time = registry.find(TimeSource.NAME).orElseGet(TimeSource::system);
        Random jitter = new Random(settings.vm().hashCode() ^ time.nanos());
        HttpPlatform client = new HttpPlatform(settings.platform(), time, jitter);
        registry.register(Platform.NAME, client);
        platform = Optional.of(client);
    }

    @Override
    public void start(ComponentRegistry registry) {
        OperatorRegistry operatorRegistry = registry.require(OperatorRegistry.NAME);
        platform.ifPresent(client -> operatorRegistry.metrics().register(client.calls()));
    }

    @Override
    public void stop(Duration limit) {
        platform.ifPresent(HttpPlatform::close);
    }
}
