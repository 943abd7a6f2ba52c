/** BUDGET: the instance that counted a request's crashes is killed and restarted. */
final class CaseRestart {
    public static void main(String[] arguments) {
        Scene.play(arguments, (scene, hasTrouble) -> Crashing.run(scene, hasTrouble, false));
    }
}
