package io.coppershelf.operator.internal;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.logging.Handler;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class LastingLogManagerTest {
    @Test
    void keepsHandlersOnResetDuringShutdown() {
        Handler handler = new LineHandler(new ByteArrayOutputStream());
        LastingLogManager manager = new LastingLogManager();
        Logger logger = new Logger("lasting", null) {};
        logger.addHandler(handler);
        manager.addLogger(logger);

        LastingLogManager.keepHandlers();
        manager.reset();

        assertThat(logger.getHandlers()).asList().containsExactly(handler);
    }
}
