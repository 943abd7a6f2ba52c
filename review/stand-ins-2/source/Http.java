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
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets: servers with a thread for each connection, and calls on connections of their own. */
final class Http {
    private Http() {}

    /** A message without its first line's meaning; header names are compared without case. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.get(name);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String query(String name) {
            int start = target().indexOf('?');
            if (start < 0) return "";
            for (String pair : target().substring(start + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                if (parts[0].equals(name) && parts.length > 1) {
                    return java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8);
                }
            }
            return "";
        }
    }

    /** Serves one request; returns false to end the connection. */
    interface Handler {
        boolean serve(Message request, Socket socket, OutputStream out) throws IOException, InterruptedException;
    }

    /** A listening server. */
    static final class Server {
        final ServerSocket listener;
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        volatile boolean closed;
        /** Idle time after which a connection is dropped without notice, so that what comes next is reset; 0 for none. */
        volatile long idleDropMs;

        Server(String ip, int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
            daemon("accept", () -> {
                while (!closed) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    daemon("connection", () -> serve(socket, handler));
                }
            });
        }

        private void serve(Socket socket, Handler handler) throws InterruptedException {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                Message request = read(in, false);
                while (request != null && handler.serve(request, socket, out)) {
                    long idleSince = System.nanoTime();
                    in.mark(1);
                    if (in.read() < 0) break;
                    in.reset();
                    if (idleDropMs > 0 && System.nanoTime() - idleSince > idleDropMs * 1_000_000) {
                        reset(socket);
                        break;
                    }
                    request = read(in, false);
                }
            } catch (IOException closedByPeer) {
                // The peer is gone; there is nobody to answer.
            } finally {
                sockets.remove(socket);
            }
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        /** Stops listening and resets all connections, as a process that is killed. */
        void stop() {
            closed = true;
            try {
                listener.close();
                for (Socket socket : sockets) reset(socket);
            } catch (IOException ignored) {
                // Already closed.
            }
        }
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread daemon(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception ended) {
                // A stand-in's connection or listener has ended.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ignored) {
            // Already closed.
        }
    }

    /** Reads a message; null at the end of the connection. A response without a length ends with its connection. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String text = line(in); ; text = line(in)) {
            if (text == null) throw new IOException("the connection ended within a head");
            if (text.isEmpty()) break;
            int colon = text.indexOf(':');
            headers.put(text.substring(0, colon).trim(), text.substring(colon + 1).trim());
        }
        byte[] body;
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream collected = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                byte[] chunk = exactly(in, size);
                line(in);
                if (size == 0) break;
                collected.write(chunk);
            }
            body = collected.toByteArray();
        } else if (headers.containsKey("content-length")) {
            body = exactly(in, Integer.parseInt(headers.get("content-length")));
        } else {
            body = isResponse && !first.contains(" 204") ? in.readAllBytes() : new byte[0];
        }
        return new Message(first, headers, body);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new IOException("the connection ended within a body");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                if (text.length() == 0) return null;
                throw new IOException("the connection ended within a line");
            }
            if (c == '\n') return text.toString();
            if (c != '\r') text.append((char) c);
        }
    }

    static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    static void respond(OutputStream out, int status, String headers, String body) throws IOException {
        respond(out, status, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Makes one call on a connection of its own; fails if there is no complete response within the timeout. */
    static Message call(String address, String method, String target, String headers, byte[] body, int timeoutMs)
        throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            String head = method + " " + target + " HTTP/1.1\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
            whole.write(body);
            socket.getOutputStream().write(whole.toByteArray());
            Message response = read(new BufferedInputStream(socket.getInputStream()), true);
            if (response == null) throw new IOException("the connection ended without a response");
            return response;
        }
    }
}
