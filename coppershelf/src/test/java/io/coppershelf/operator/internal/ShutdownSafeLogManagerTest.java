package io.coppershelf.operator.internal;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.logging.Handler;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class ShutdownSafeLogManagerTest {
    @Test
    void keepsHandlersOnResetDuringShutdown() {
        Handler handler = new LineHandler(new ByteArrayOutputStream());
        ShutdownSafeLogManager manager = new ShutdownSafeLogManager();
        Logger logger = new Logger("lasting", null) {};
        logger.addHandler(handler);
        manager.addLogger(logger);

        ShutdownSafeLogManager.keepHandlers();
        manager.reset();

        assertThat(logger.getHandlers()).asList().containsExactly(handler);
    }
}
