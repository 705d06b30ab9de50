"""A machine is back in the middle of an election; a copy of a command that it carried out follows."""
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standin2 import Case, job, mechelen_fleet, run_case  # noqa: E402

TASK = "j-000002/0"
COPY_AFTER_S = 1.0
BACK_AFTER_S = 4.0  # of a controller


def main(case):
    case.start()
    case.wait_ready()
    # Two machines are up and idle: each has run a short task.
    for number, kind in (("000101", "lindeboom-small"), ("000102", "beuk-mid")):
        case.submit(job(f"j-{number}", "donor-care", cpus=4.0, flight_s=1.0, perches=[kind]))
    if not case.wait_until(lambda: len(case.world.results) == 2, 25):
        raise RuntimeError("the machines did not come up")
    workers = list(case.cloud.workers().values())
    for worker in workers:
        worker.error_for.add(TASK)  # the first attempt fails, wherever it is
    spec = job("j-000002", "lab-liaison", cpus=2.0, flight_s=40.0)
    case.submit(spec)
    if not case.wait_until(lambda: case.world.starts[TASK], 15, step=0.01):
        raise RuntimeError("the task was not started")
    first = next(w for w in workers if TASK not in w.error_for or w.name in case.world.on[TASK])
    for worker in workers:
        worker.error_for.discard(TASK)
    second = case.wait_until(lambda: next((n for n in list(case.world.on[TASK]) if n != first.name), None),
                             20, step=0.01)
    if not second:
        raise RuntimeError("the second attempt is on the same machine")
    command = next((m for m in first.carried_out if any(
        c["call_kind"] == "run" and c["peck"] == TASK for c in m["calls"])), None)
    if command is None:
        raise RuntimeError("the first attempt was not started by a direct command")
    time.sleep(1.0)
    if case.trouble:
        leader = case.controller(case.leader())
        leader.kill()
        first.restart()
    time.sleep(COPY_AFTER_S)
    first.do(command, "copy of a do")
    if case.trouble:
        time.sleep(BACK_AFTER_S - COPY_AFTER_S)
        leader.start()
    case.wait_until(lambda: TASK in case.world.results, 60)
    broken = [text for rule, text in case.world.broken if rule == "ran_twice"]
    return f"ran_twice: {broken[0]}" if broken else None


run_case(main, Case(HERE, mechelen_fleet()))
