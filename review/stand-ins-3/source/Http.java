import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets: a server with a thread for each connection, and single calls of a client. */
final class Http {
    private Http() {
    }

    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return first.substring(0, first.indexOf(' '));
        }

        String target() {
            return first.substring(first.indexOf(' ') + 1, first.lastIndexOf(' '));
        }

        String path() {
            String target = target();
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        String query(String name) {
            String target = target();
            int query = target.indexOf('?');
            if (query < 0) return "";
            for (String pair : target.substring(query + 1).split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0 && pair.substring(0, equals).equals(name)) {
                    return java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    interface Handler {
        /** Answers a request on its connection; an exception closes the connection. */
        void handle(Message request, Connection connection) throws Exception;
    }

    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 65_536);
            this.out = socket.getOutputStream();
        }

        synchronized void answer(int status, String headers, byte[] body) throws IOException {
            String head = "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }

        synchronized void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Ends the connection with a reset, as a process that crashes does. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }
    }

    static final class Server {
        final String host;
        final int port;
        private final Handler handler;
        private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
        private volatile ServerSocket listener;

        Server(String host, int port, Handler handler) throws IOException {
            this.host = host;
            this.handler = handler;
            this.listener = listen(port);
            this.port = listener.getLocalPort();
        }

        private ServerSocket listen(int wanted) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), wanted), 256);
            Thread thread = new Thread(() -> accept(socket), "accept");
            thread.setDaemon(true);
            thread.start();
            return socket;
        }

        String address() {
            return host + ":" + port;
        }

        private void accept(ServerSocket socket) {
            while (!socket.isClosed()) {
                try {
                    Connection connection = new Connection(socket.accept());
                    connections.add(connection);
                    Thread thread = new Thread(() -> serve(connection), "connection");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Connection connection) {
            try {
                while (true) {
                    Message request = read(connection.in, true);
                    if (request == null) break;
                    handler.handle(request, connection);
                }
            } catch (Exception ended) {
                // The caller has left, or the handler ended the connection.
            } finally {
                connections.remove(connection);
                try {
                    connection.socket.close();
                } catch (IOException ignored) {
                    // Nothing is left to do.
                }
            }
        }

        /** Resets all connections and refuses new ones. */
        void crash() {
            try {
                listener.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
            connections.forEach(Connection::reset);
        }

        void restart() throws IOException {
            listener = listen(port);
        }
    }

    /** Reads a message; null at the end of the connection. */
    static Message read(InputStream in, boolean isRequest) throws IOException {
        Message message = new Message();
        String line = line(in);
        if (line == null) return null;
        message.first = line;
        while (true) {
            String field = line(in);
            if (field == null) throw new IOException("the head is not complete");
            if (field.isEmpty()) break;
            int colon = field.indexOf(':');
            message.headers.put(field.substring(0, colon).trim(), field.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = message.headers.get("Content-Length");
        if (message.header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) throw new IOException("the body is not complete");
                int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (bytes > 0) copy(in, body, bytes);
                line(in);
                if (bytes == 0) break;
            }
        } else if (length != null) {
            copy(in, body, Integer.parseInt(length));
        } else if (!isRequest && message.status() != 204) {
            in.transferTo(body);
        }
        message.body = body.toByteArray();
        return message;
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int bytes) throws IOException {
        byte[] part = in.readNBytes(bytes);
        if (part.length < bytes) throw new IOException("the body is not complete");
        out.write(part);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (out.size() == 0) return null;
                throw new IOException("a line is not complete");
            }
            if (c == '\n') break;
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends one call over a new connection; returns null if it ends without a complete answer. */
    static Message call(String address, String method, String target, String headers, byte[] body, int timeout) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
            socket.setSoTimeout(timeout);
            String head = method + " " + target + " HTTP/1.1\r\n" + headers + "Content-Length: " + body.length
                + "\r\n\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            socket.getOutputStream().write(all.toByteArray());
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()), false);
        } catch (IOException | RuntimeException failed) {
            return null;
        }
    }
}
