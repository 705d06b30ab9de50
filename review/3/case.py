"""A submission of 60,000 bytes is accepted; then the state service refuses one controller alone,
and the user repeats the submission there. PROTOCOL, "Rules", `forgotten`: no repeated submission of
an accepted job gets 400 or 422."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standin  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
BODY_BYTES = 60_000  # of the 64 KiB that PROTOCOL allows


def body_of(spec):
    """The job with notes of the user's own: unknown fields, which receivers ignore."""
    spec = dict(spec, notes={})
    i = 0
    while len(json.dumps(spec)) < BODY_BYTES - 200:
        i += 1
        spec["notes"][f"slot {i:05d}"] = f"reminder text {i}"
    pad = BODY_BYTES - len(json.dumps(dict(spec, pad="")))
    return json.dumps(dict(spec, pad="x" * pad)).encode()


async def case(trouble):
    world = standin.World(FOLDER, standin.small_deployment())
    try:
        zones = world.settings["zones"]
        flavors = [standin.flavor("beuk-mid", 8, 32, 2, zones)]
        capacity = {("beuk-mid", zone, spot): 2 for zone in zones for spot in (False, True)}
        await world.set_up(flavors, capacity)
        await world.healthy()
        await world.until(world.leader, 15, "leader")
        spec = standin.job(1, flight_s=300.0)
        body = body_of(spec)
        assert len(body) == BODY_BYTES <= standin.MAX_BODY
        world.upload(spec)
        accepted = await world.submit(spec, body)
        if accepted is None or accepted[0] not in (200, 201):
            raise standin.CannotRun(f"not accepted: {accepted}")
        node = next(c for c in world.controllers if c is not world.leader())
        if trouble:
            world.record("trouble: the state service refuses", node.label)
            await world.state.refuse({node.label})
        await asyncio.sleep(3)
        answers = []
        for _ in range(5):
            # The repetition, and for comparison a short one of the same job and a poll.
            answers.append(await world.ask(node, "POST", "/v2/runs", body))
            await world.ask(node, "POST", "/v2/runs", json.dumps(spec).encode())
            await world.ask(node, "GET", "/v2/runs/" + spec["id"], None, 2.0)
            await asyncio.sleep(2)
        wrong = [answer for answer in answers if answer is not None and answer[0] in (400, 422)]
        world.record("repeated submissions:", answers)
        print(f"{len(wrong)} of {len(answers)} repeated submissions of an accepted job got 400/422")
        return not wrong
    finally:
        await world.tear_down()


standin.main(case, FOLDER)
