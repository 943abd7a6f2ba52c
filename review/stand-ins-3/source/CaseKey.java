/** BUDGET: the key with which a request that crashes servers is sent is replaced. */
final class CaseKey {
    public static void main(String[] arguments) {
        Scene.play(arguments, (scene, hasTrouble) -> Crashing.run(scene, false, hasTrouble));
    }
}
