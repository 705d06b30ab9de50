"""Users submit arrays of the largest size that PROTOCOL allows; the platform ends controllers that
hold more memory than they may."""
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standin2 import Case, job, mechelen, run_case  # noqa: E402

ARRAYS, TASKS = 10, 100_000
BACK_AFTER_S = 4.0
SERVED_WITHIN_S = 60


def main(case):
    limit = case.site["resources"]["mem_mb"]
    ended_for_memory = []

    def platform():
        """Ends a controller over its memory limit and starts it again. Counts only what the process
        holds itself (RssAnon), not its program and libraries."""
        while True:
            time.sleep(0.05)
            for controller in case.controllers:
                used = controller.memory_mb()
                if used > limit:
                    case.record("platform:", controller.label, f"holds {used:.1f} MB of {limit}")
                    ended_for_memory.append(f"{controller.label} at {used:.1f} MB")
                    controller.kill()
                    threading.Timer(BACK_AFTER_S, controller.start).start()

    for zone in case.zones:
        for kind in case.types:
            for spot in (False, True):
                one = kind["name"] == "beuk-mid" and not spot
                case.cloud.capacity[kind["name"], zone, spot] = 1 if one else 0
    case.start()
    case.wait_ready()
    threading.Thread(target=platform, daemon=True).start()
    teams = [team["name"] for team in case.site["teams"]]
    for i in range(ARRAYS if case.trouble else 1):
        spec = job(f"j-{i + 1:06d}", teams[i % len(teams)], rank="low", pecks=TASKS, cpus=0.25,
                   ram_gb=0.9, flight_s=4.0, borrowed_branches=True)
        status, _ = case.submit(spec, seconds=15)
        case.record("array", spec["id"], "got", status)
    status, answer = case.submit(job("j-900001", "lab-liaison", rank="high", cpus=1.0, flight_s=3.0))
    if status not in (200, 201):
        raise RuntimeError(f"not accepted: {status} {answer}")
    accepted = case.record.now()
    done = case.wait_until(lambda: (case.poll("j-900001")[1] or {}) and
                           case.world.starts["j-900001/0"] > 0, SERVED_WITHIN_S, step=1.0)
    for controller in case.controllers:
        case.record("memory", controller.label, f"{controller.memory_mb():.1f} MB anonymous,",
                    f"{controller.memory_mb('VmRSS'):.1f} MB resident")
    case.record("started after", round(case.record.now() - accepted, 1) if done else None, "s")
    if ended_for_memory:
        served = "it was started" if done else f"it was not started within {SERVED_WITHIN_S} s"
        return (f"{len(ended_for_memory)} controllers ended for memory, first "
                f"{ended_for_memory[0]}; of the job accepted last: {served}")
    return None if done else "an accepted job was not started"


run_case(main, Case(HERE, mechelen()))
