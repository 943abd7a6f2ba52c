import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer; objects are maps, arrays are lists, whole numbers are longs. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Builds an object from alternating names and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) result.put((String) pairs[i], pairs[i + 1]);
        return result;
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char next = peek();
        if (next == '{') return members();
        if (next == '[') return elements();
        if (next == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        if (word.equals("null")) return null;
        if (word.matches("-?\\d+")) return Long.valueOf(word);
        return Double.valueOf(word);
    }

    private Map<String, Object> members() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        while (peek() != '}') {
            String name = string();
            peek();
            at++;
            result.put(name, value());
            if (peek() == ',') at++;
        }
        at++;
        return result;
    }

    private List<Object> elements() {
        List<Object> result = new ArrayList<>();
        at++;
        while (peek() != ']') {
            result.add(value());
            if (peek() == ',') at++;
        }
        at++;
        return result;
    }

    private String string() {
        peek();
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                result.append(next);
                continue;
            }
            char escape = text.charAt(at++);
            switch (escape) {
                case 'n': result.append('\n'); break;
                case 't': result.append('\t'); break;
                case 'r': result.append('\r'); break;
                case 'b': result.append('\b'); break;
                case 'f': result.append('\f'); break;
                case 'u':
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: result.append(escape);
            }
        }
        at++;
        return result.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char next : string.toCharArray()) {
                if (next == '"' || next == '\\') out.append('\\').append(next);
                else if (next < ' ') out.append(String.format("\\u%04x", (int) next));
                else out.append(next);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
