package io.coppershelf.bench.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/** Client of the control interface of the platform stand-in. */
public final class PlatformControl {
    private final HttpClient http = HttpClient.newHttpClient();
    private final URI base;

    /** Returns a client of the stand-in at the given address. */
    public PlatformControl(URI base) {
        this.base = base;
    }

    /** Publishes a ticket. */
    public void publish(String ticket) throws IOException, InterruptedException {
        post("/control/tickets", ticket);
    }

    /** Publishes a VM list. */
    public void publishVms(String vms) throws IOException, InterruptedException {
        post("/control/vms", vms);
    }

    /** Sets the fault of the platform stand-in; {@code none} clears it. */
    public void setFault(String fault) throws IOException, InterruptedException {
        post("/control/fault", fault);
    }

    private void post(String path, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(base.resolve(path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() / 100 != 2) {
            throw new IOException("platform stand-in refused " + path + ": " + answer.body());
        }
    }
}
