import java.util.ArrayList;
import java.util.List;

/** The store is silent for some seconds; soon after it is back, a server leaves without having said so before. */
final class CaseLapse {
    public static void main(String[] arguments) {
        Case.run(arguments, 3, CaseLapse::play);
    }

    private static boolean play(Deployment d, Record record, boolean trouble) throws Exception {
        d.store.put("op", "config", Configurations.configuration(1, List.of(
            Configurations.route("shop-order", "/order/", "non_idempotent", "shop-app", 3000, 150, 2, false)),
            List.of(Configurations.KEY)));
        Servers.Backend first = d.backend("i-1", "shop-app", null, 6, 300);
        d.backend("i-2", "shop-app", null, 6, 300);
        Servers.Backend leaver = d.backend("i-3", "shop-app", null, 6, 300);
        d.startAll();
        Thread.sleep(4_000);
        first.register();
        Thread.sleep(100);
        if (trouble) {
            record.add("store silent");
            d.store.fate = request -> Store.Fate.UNANSWERED;
        }
        Thread.sleep(2_200);
        d.store.fate = request -> Store.Fate.SERVED;
        record.add("store back");
        Thread.sleep(3_200);
        leaver.leaving = true;
        d.store.remove("servers", leaver.id);
        long acknowledged = record.add("acknowledged", "gone", leaver.id);
        Thread.sleep(2_050);
        List<Thread> threads = new ArrayList<>();
        int number = 0;
        for (Deployment.Instance instance : d.instances) {
            for (int i = 0; i < 5; i++) {
                String id = String.format("%016x", 0xabc000 + ++number);
                threads.add(Http.daemon("caller", () -> d.send(instance.frontAddress(), "POST", "/order/x", id,
                    Configurations.KEY, 3_000, "order".getBytes(), "")));
            }
        }
        Thread.sleep(250);
        leaver.server.stop();
        record.add("exits", "server", leaver.id);
        for (Thread thread : threads) thread.join();
        long late = record.lines("run").stream()
            .filter(line -> line.text("server").equals(leaver.id) && line.atMs() > acknowledged + 2_000).count();
        long answered = record.lines("answered").stream().filter(line -> line.text("status").equals("200")).count();
        long cut = record.lines("answered").stream().filter(line -> line.text("status").equals("502")).count();
        System.out.println("late=" + late + " answered 200=" + answered + " answered 502=" + cut);
        record.add("total", "late", late, "answered 200", answered, "answered 502", cut);
        Case.require(answered > 0, "a request that is served");
        return late > 0;
    }
}
