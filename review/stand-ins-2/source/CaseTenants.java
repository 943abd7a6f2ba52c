import java.util.List;
import java.util.Map;

/** A new configuration takes the last tenant away; requests with its key, with an unknown key and with none follow. */
final class CaseTenants {
    private static final int ROUNDS = 5;

    public static void main(String[] arguments) {
        Case.run(arguments, 3, CaseTenants::play);
    }

    private static boolean play(Deployment d, Record record, boolean trouble) throws Exception {
        List<Map<String, Object>> routes = List.of(
            Configurations.route("shop-order", "/order/", "non_idempotent", "shop-app", 3000, 150, 2, false));
        d.store.put("op", "config", Configurations.configuration(1, routes, List.of(Configurations.KEY)));
        for (int i = 1; i <= 2; i++) d.backend("i-" + i, "shop-app", null, 6, 25);
        d.startAll();
        Thread.sleep(3_000);
        Http.Message before = d.send(d.instances.get(0).frontAddress(), "POST", "/order/x", "00000000000000d1",
            Configurations.KEY, 2_000, "order".getBytes(), "");
        Case.require(before != null && before.status() == 200, "a request that is served with the tenant's key");
        if (trouble) {
            Map<String, Object> changed = Configurations.configuration(2, routes, List.of());
            changed.put("tenants", List.of());
            d.store.put("op", "config", changed);
            record.add("acknowledged", "configuration", 2, "tenants", List.of());
        }
        Thread.sleep(3_000);
        int number = 0;
        for (Deployment.Instance instance : d.instances) {
            for (int i = 0; i < ROUNDS; i++) {
                d.send(instance.frontAddress(), "POST", "/order/x", String.format("%016x", 0xe000 + ++number),
                    "neverheldbyanyconfig", 2_000, "order".getBytes(), "");
            }
        }
        long ran = record.lines("run").stream().filter(line -> !line.text("request").equals("00000000000000d1")).count();
        long refused = record.lines("answered").stream().filter(line -> line.text("status").equals("401")).count();
        System.out.println("ran=" + ran + " refused 401=" + refused);
        record.add("total", "ran with a key that no configuration held", ran, "refused 401", refused);
        return ran > 0;
    }
}
