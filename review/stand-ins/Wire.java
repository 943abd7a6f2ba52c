import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** HTTP/1.1 over plain sockets, so that a stand-in controls each byte and the end of each connection. */
final class Wire {
    private Wire() {
    }

    /** A request or a response; {@code start} is its first line and header names are in lower case. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return start.split(" ")[0];
        }

        String path() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** The connection on which a request arrived. */
    static final class Connection {
        final Socket socket;
        final OutputStream out;
        boolean open = true;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("content-length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Ends the connection with a reset. */
        void reset() throws IOException {
            open = false;
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    interface Handler {
        void handle(Message request, Connection connection) throws Exception;
    }

    /** A server that can go down and come back at the same address, as a process that is restarted. */
    static final class Server {
        private final Handler handler;
        private final Set<Socket> sockets = Collections.synchronizedSet(new HashSet<>());
        private InetSocketAddress address;
        private volatile ServerSocket listener;

        Server(String host, Handler handler) throws IOException {
            this.handler = handler;
            this.address = new InetSocketAddress(InetAddress.getByName(host), 0);
            listen();
        }

        String address() {
            return address.getAddress().getHostAddress() + ":" + address.getPort();
        }

        synchronized void listen() throws IOException {
            ServerSocket next = new ServerSocket();
            next.setReuseAddress(true);
            next.bind(address, 512);
            address = new InetSocketAddress(address.getAddress(), next.getLocalPort());
            listener = next;
            start("listener", () -> accept(next));
        }

        /** Closes the port and resets all connections, as the end of a process does. */
        synchronized void crash() throws IOException {
            listener.close();
            for (Socket socket : sockets.toArray(new Socket[0])) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException ignored) {
                    // The connection has ended already.
                }
            }
        }

        private void accept(ServerSocket from) {
            while (!from.isClosed()) {
                try {
                    Socket socket = from.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    start("connection", () -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Connection connection = new Connection(socket);
                while (connection.open) {
                    Message request = read(in, true);
                    if (request == null) return;
                    handler.handle(request, connection);
                }
            } catch (Exception ended) {
                // The peer or a crash has closed the connection.
            } finally {
                sockets.remove(socket);
            }
        }
    }

    static void start(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads a message; null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean isRequest) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Map<String, String> headers = new TreeMap<>();
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            headers.put(next.substring(0, colon).trim().toLowerCase(), next.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                copy(in, body, size);
                line(in);
            }
            line(in);
        } else if (headers.containsKey("content-length")) {
            copy(in, body, Integer.parseInt(headers.get("content-length")));
        } else if (!isRequest) {
            in.transferTo(body);
        }
        return new Message(start, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new EOFException("the body ended early");
        return Integer.parseInt(size.trim(), 16);
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the body ended early");
        out.write(bytes);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
            line.write(next);
        }
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Ends the connection of a caller that waits no longer, also while it is still sending. */
    private static void closeAfter(Socket socket, int limitMilliseconds) {
        try {
            Thread.sleep(limitMilliseconds);
            socket.close();
        } catch (IOException | InterruptedException ended) {
            // The connection has ended already.
        }
    }

    /** Sends one request on a new connection; null if there is no complete response within the time limit. */
    static Message call(
        String address, String method, String path, Map<String, String> headers, byte[] body, int limitMilliseconds
    ) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000
            );
            start("time limit", () -> closeAfter(socket, limitMilliseconds));
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (method.equals("POST") || body.length > 0) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return read(new BufferedInputStream(socket.getInputStream()), false);
        } catch (IOException failed) {
            return null;
        }
    }
}
