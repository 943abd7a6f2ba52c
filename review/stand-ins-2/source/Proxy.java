import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on the loopback interface whose open connections can be silenced or reset; new ones go on working. */
final class Proxy {
    private static final class Link {
        final Socket client;
        final Socket server;
        volatile boolean silent;

        Link(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }
    }

    private final ServerSocket listener = new ServerSocket();
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    Proxy(String ip, String target) throws IOException {
        listener.bind(new InetSocketAddress(ip, 0), 512);
        int colon = target.lastIndexOf(':');
        InetSocketAddress address =
            new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        Http.daemon("proxy", () -> {
            while (true) {
                Socket client = listener.accept();
                Http.daemon("link", () -> {
                    Socket server = new Socket();
                    server.connect(address, 1_000);
                    client.setTcpNoDelay(true);
                    server.setTcpNoDelay(true);
                    Link link = new Link(client, server);
                    links.add(link);
                    Http.daemon("to server", () -> copy(link, client, server));
                    copy(link, server, client);
                });
            }
        });
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    int open() {
        return links.size();
    }

    private void copy(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (!link.silent) out.write(buffer, 0, count);
            }
            if (!link.silent) to.shutdownOutput();
        } catch (IOException ended) {
            if (!link.silent) {
                Http.reset(link.client);
                Http.reset(link.server);
            }
        }
        if (from.isClosed() || to.isClosed() || link.client.isInputShutdown()) links.remove(link);
    }

    /** The connections that are open now deliver nothing any more, in either direction. Returns their number. */
    int silence() {
        int count = 0;
        for (Link link : links) {
            if (!link.silent) count++;
            link.silent = true;
        }
        return count;
    }

    /** Resets the connections that are open now. */
    void reset() {
        for (Link link : links) {
            Http.reset(link.client);
            Http.reset(link.server);
            links.remove(link);
        }
    }
}
