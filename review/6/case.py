"""The cloud has no capacity left. A job that fits beside a running service waits."""
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standin2 import Case, job, mechelen, run_case  # noqa: E402

WAIT_S = 92  # the rule allows 90


def main(case):
    if case.trouble:  # one machine of 8 CPUs, and then "no capacity"
        for zone in case.zones:
            for kind in case.types:
                for spot in (False, True):
                    one = (kind["name"], zone, spot) == ("beuk-mid", "gent-dock", False)
                    case.cloud.capacity[kind["name"], zone, spot] = 1 if one else 0
    case.start()
    case.wait_ready()
    service = job("j-000001", "donor-care", flock="booking-desk", gait="standing", rank="production",
                  cpus=4.0, ram_gb=12.0, flight_s=0.0, perches=["beuk-mid"], roost="gent-dock")
    case.submit(service)
    if not case.wait_until(lambda: case.world.running("j-000001"), 15):
        raise RuntimeError("the service did not start")
    small = job("j-000002", "lab-liaison", flock="rare-match", rank="high", cpus=2.0, ram_gb=4.0,
                flight_s=5.0, perches=["beuk-mid"], roost="gent-dock", plumage="img-1")
    status, answer = case.submit(small)
    if status not in (200, 201):
        raise RuntimeError(f"not accepted: {status} {answer}")
    accepted = time.monotonic()
    while time.monotonic() - accepted < WAIT_S:
        if case.world.starts["j-000002/0"]:
            return None
        for name, worker in case.cloud.workers().items():
            with worker.lock:
                active = [t for t in worker.tasks.values() if t.mood != "ended"]
                case.record("room on", name, worker.kind["cpus"] - sum(t.job["cpus"] for t in active),
                            "CPUs,", worker.kind["ram_gb"] - sum(t.job["ram_gb"] for t in active), "GB")
        case.poll("j-000002")
        time.sleep(5)
    return (f"a job of 2 CPUs waited {WAIT_S} s while a machine that fits had 4 CPUs and 20 GB free and "
            "its team used nothing")


run_case(main, Case(HERE, mechelen()))
