"""Steps on late runs and their copies, in virtual time."""

from __future__ import annotations

import os

from behave import given, then, when
from copy_builders import SETTLE_S, CopyPlay, open_play
from copy_world import play

from carawayd.partition.knownworkers import WORKER_PREFIX
from carawayd.platform.runs import EndedRun
from carawayshore.workflows.copies import INITIAL_WON_SHARE
from carawayshore.workflows.state import DONE, ORDERED

OUTCOMES = ("won", "lost", "cancelled")
STOP_S = 1.0
# Longest time from the end of a worker to the end of its leases, as the owner knows it.
LOSS_TIMEOUT_S = 10.0
ALONE_TIMEOUT_S = 2.0
NUMBERS = {"late run": 1, "copy": 2}


@given("a late run and its copy at work")
def begin_both(context):
    begin_both_of(context, 20.0, 3.0)


@given("a late run and its copy of {copy:g} s at work")
def begin_with_copy(context, copy):
    begin_both_of(context, 20.0, copy)


@given("a late run of {late:g} s and its copy of {copy:g} s at work")
def begin_both_of(context, late, copy):
    open_play(context).submit(late, copy)
    context.play.wait_for_both()


@given("a run whose worker no longer answers")
def silence_worker(context):
    play_ = open_play(context)
    play_.submit(6.0)
    assert play_.wait_until(lambda: bool(play_.find_workers()))
    play_.wait(0.1)
    play_.world.links[play_.state.worker] = "cut"


def _hold_sending(play_: CopyPlay) -> None:
    """Lets the present owner record copies without sending their orders."""
    owner = play_.world.current.owner
    may_start = owner._may_start

    def refuse_copies(link, name, run):
        return name != play_.task or run == 1 and may_start(link, name, run)

    owner._may_start = refuse_copies


@given("a late run whose copy is recorded but not sent")
def record_only(context):
    play_ = open_play(context)
    _hold_sending(play_)
    play_.submit()
    play_.wait_for_copy()
    play_.wait(0.05)
    assert len(play_.find_workers()) == 1


@given("a late run whose copy waits for its record")
def delay_record(context):
    play_ = open_play(context)
    # A second step, so that the job goes on after the end of the task.
    play_.submit(chain=2)
    assert play_.wait_until(lambda: bool(play_.find_workers()))
    play_.world.store.append_seconds = 0.3
    play_.wait_for_copy()


@given("a late run whose copy cannot be recorded")
def refuse_record(context):
    play_ = open_play(context)
    play_.submit(18.0)
    assert play_.wait_until(lambda: bool(play_.find_workers()))
    play_.wait(0.3)
    owner = play_.world.current.owner
    step = owner.workflows[play_.task.workflow].steps[0, 0]
    play_.world.store.refused_keys.add(owner.workflows[play_.task.workflow].step_key(step))
    play_.wait_for_copy()


@given("a late run of {late:g} s whose copy's order is {link}")
def disturb_order(context, late, link):
    play_ = open_play(context)
    play_.submit(late)
    play_.wait_for_copy()
    play_.world.links[play_.copy] = link
    play_.wait(1.5)
    play_.world.links[play_.copy] = ""


@given("a late run whose copy's order arrives {seconds:g} s after it was sent")
def delay_order(context, seconds):
    play_ = open_play(context)
    play_.submit()
    assert play_.wait_until(lambda: bool(play_.find_workers()))
    for name in play_.world.workers.keys() - {play_.state.worker}:
        play_.world.late_starts[name] = seconds
    play_.wait_for_copy()
    play_.wait(0.05)
    # The stop order that follows it does not arrive.
    play_.world.links[play_.copy] = "cut"


@then("the share of won copies of its queue has fallen")
def expect_lower_share(context):
    gains = context.play.world.current.owner._copies._gains
    assert gains._won_shares["slots"] < INITIAL_WON_SHARE


@when("the copy ends first")
@when("the late run ends first")
def end_first(context):
    play_ = context.play
    if play_.state.copy and play_.copy and len(play_.find_workers()) == 2:
        assert play_.wait_until(lambda: play_.state.status == DONE)
        context.stopped = play_.wait_until(lambda: not play_.find_workers(), STOP_S)
    else:
        _end(play_, 1, "done")
        play_.wait(2.0)


def _end(play_: CopyPlay, run: int, kind: str) -> None:
    worker = play_.find_workers()[run]

    async def end() -> None:
        if kind == "done":
            now = play_.world.now()
            worker.runs[play_.task] = worker.runs[play_.task]._replace(ends_at=now)
        else:
            worker.end(play_.task, kind)

    play_.run(end())


@when("the late run ends before it arrives")
def end_before_arrival(context):
    _end(context.play, 1, "done")


@when("both runs end, and their workers report at once")
def end_both(context):
    for run in (1, 2):
        _end(context.play, run, "done")


@when("both runs end, and one report lists both, first run {first:d}")
def list_both(context, first):
    play_ = context.play
    owner = play_.world.current.owner
    workers = play_.find_workers()

    async def handle() -> None:
        for number, run in enumerate((first, 3 - first), start=1):
            link = owner.links[workers[run].name]
            link.orders.pop(play_.task)
            owner.handle_end(link, EndedRun(number, play_.task, run, "done", ""), 1.0)
        for run in (1, 2):
            workers[run].end(play_.task, "done")

    play_.run(handle())


@when("the copy ends failed")
def fail_copy(context):
    _fail(context.play, 2)


@when("the late run ends failed")
def fail_original(context):
    _fail(context.play, 1)


@when("both runs end failed")
def fail_both(context):
    _fail(context.play, 2)
    _fail(context.play, 1)


def _fail(play_: CopyPlay, run: int) -> None:
    _end(play_, run, "failed")
    play_.wait(0.5)


@when("the copy ends failed, and that was the last attempt")
def fail_last(context):
    context.play.state.failures = 2
    _fail(context.play, 2)
    context.play.wait(2.0)


@when("the worker of run {run:d} {crashes}")
def crash_worker(context, run, crashes):
    play_ = context.play
    worker = play_.find_workers()[run]

    async def crash() -> None:
        if crashes == "starts again":
            worker.restart(12)
        else:
            worker.leave()

    play_.run(crash())
    # A run that has outlived the crash clears the task of it soon.
    context.lost_worker = play_.wait_until(lambda: bool(play_.state.losses), LOSS_TIMEOUT_S)


@when("the {lost}'s worker leaves unseen and the owner is killed")
def leave_unseen(context, lost):
    leave_unseen_for(context, lost, 12.0)


@when("the {lost}'s worker leaves unseen and the owner is killed for {seconds:g} s")
def leave_unseen_for(context, lost, seconds):
    play_ = context.play
    worker = play_.find_workers()[NUMBERS[lost]]
    _hide_worker(play_, worker.name)
    kill_owner(context)
    owner = play_.world.current.owner
    assert worker.name not in owner.links and (owner._orphans or owner._copies.orphans)
    play_.wait(seconds)


@when("the play's owner is killed and the next one takes over")
def kill_owner(context):
    context.play.run(context.play.world.kill_owner())
    context.play.wait(1.5)


@when("the play's owner hands over")
def hand_over(context):
    context.play.run(context.play.world.hand_over())
    context.play.wait(1.0)


@when("the job with the late run is cancelled")
def cancel_job(context):
    world = context.play.world
    context.play.run(world.cancel(world.accepted.index(context.play.task.workflow)))


@when("the owner loses track of the copy, and {finds}")
def lose_copy(context, finds):
    play_ = context.play
    owner = play_.world.current.owner
    link = owner.links[play_.copy]
    if finds == "no record tells its worker":
        # Neither the list nor a record lets the owner open another link.
        _hide_worker(play_, play_.copy)
        owner._known_workers._entries.pop(play_.copy)
        del owner.links[play_.copy]
        play_.run(link.stop())
        return
    del link.orders[play_.task]
    link.capacity.release(play_.task)
    # As if its link had been missing when it was found to be without an order.
    owner._copies.orphans[play_.task] = play_.copy
    if finds == "no report tells":
        del owner._copies.orphans[play_.task]
        link._handle_unordered_run = lambda *_: None


@when("the copy's worker leaves the list and the owner is killed")
def unlist_worker(context):
    play_ = context.play
    play_.world.unlisted.add(play_.copy)
    kill_owner(context)


@then("the copy waits for the leases of its worker as the only run")
def expect_orphan_run(context):
    owner = context.play.world.current.owner
    assert owner._orphans == {context.play.task: context.play.copy}, owner._orphans
    assert not owner._copies.orphans


@then("the copy waits for nothing more")
def expect_no_orphan(context):
    owner = context.play.world.current.owner
    assert not owner._orphans and not owner._copies.orphans, owner._copies.orphans


@then("both runs hold room")
def expect_room(context):
    play_ = context.play
    links = play_.world.current.owner.links
    for worker in (play_.original, play_.copy):
        assert play_.task in links[worker].capacity.usages, worker
        assert play_.task in links[worker].orders, worker


def _hide_worker(play_: CopyPlay, worker: str) -> None:
    """Removes a worker from the list and from the records, and cuts it off."""
    play_.world.links[worker] = "cut"
    play_.world.unlisted.add(worker)
    play_.world.store.records.pop(WORKER_PREFIX + worker, None)


@then("the copy waits for the leases of its worker")
def expect_orphan_copy(context):
    owner = context.play.world.current.owner
    assert owner._copies.orphans == {context.play.task: context.play.copy}, owner._copies.orphans
    assert context.play.task not in owner._orphans


@when("run {run:d} of the task is reported as missing on both workers")
def report_missing(context, run):
    play_ = context.play
    owner = play_.world.current.owner

    async def report() -> None:
        for worker in (play_.original, play_.copy):
            owner.handle_missing_run(owner.links[worker], play_.task, run, "not listed")

    play_.run(report())


@when("the play goes on for {seconds:g} s")
def pass_time(context, seconds):
    context.play.wait(seconds)


@then("the job with the late run is shown as {state}")
def expect_job(context, state):
    assert context.play.wait_until(lambda: context.play.state is not None)
    play_ = context.play
    for _ in range(int(SETTLE_S)):
        if play_.job_state == state:
            return
        play_.wait(1.0)
    raise AssertionError(play_.job_state)


@then("the job is completed, its task by run {run}")
def expect_completed(context, run):
    expect_job(context, "completed")
    play_ = context.play
    assert play_.state.status == DONE
    done = {w.highest_ended.get(play_.task) for w in play_.world.workers.values()
            if play_.task in w.done_at}  # fmt: skip
    if run != "any":
        # The highest number of its runs, whichever of them counts; a copy that goes on as the only
        # run may have been copied again.
        assert play_.state.to_row()[1] >= 2, play_.state.to_row()
        assert int(run) in done, done
        # Only the end of the other run, at the same moment, may be a second one.
        assert len(done) == 1 or done == {1, 2}, done


@then("the copies were won {won:d}, lost {lost:d}, cancelled {cancelled:d}")
def expect_outcomes(context, won, lost, cancelled):
    found = context.play.count_copies()
    expected = dict(zip(OUTCOMES, (won, lost, cancelled), strict=True))
    assert {name: found.get(name, 0) for name in OUTCOMES} == expected, found


@then("both runs are being stopped")
def expect_stopping(context):
    play_ = context.play
    for worker in (play_.original, play_.copy):
        order = play_.world.current.owner.links[worker].orders.get(play_.task)
        assert order is None or order.stopping, worker


@then("the late run was stopped within 1 s of the end")
def expect_stopped(context):
    assert context.stopped


@then("nothing is left of either run")
def expect_nothing_left(context):
    play_ = context.play
    play_.wait(3.0)
    assert not play_.find_workers(), play_.find_workers()
    found = [text for text in play_.world.list_leftovers() if play_.task.workflow in text]
    assert not found + play_.world.violations, (found, play_.world.violations)


@then("the ended tasks are counted once")
def expect_single_count(context):
    play_ = context.play
    play_.wait(1.0)
    assert play_.state.status == DONE, play_.state.to_row()
    assert not [text for text in play_.world.list_leftovers() if text.startswith("COUNT")]
    assert sum(play_.count_copies().values()) == 1, play_.count_copies()


@then("the task has {failures:d} failure and goes on with run {run:d} alone")
@then("the task has {failures:d} failures and goes on with run {run:d} alone")
def expect_failures(context, failures, run):
    assert context.play.state.failures == failures, context.play.state.to_row()
    expect_alone(context, run)


def expect_alone(context, run):
    play_ = context.play

    def is_alone() -> bool:
        state = play_.state
        is_only = (state.status, state.run, state.has_copy) == (ORDERED, run, False)
        return is_only and set(play_.find_workers()) == {run}

    assert play_.wait_until(is_alone, ALONE_TIMEOUT_S), (play_.find_workers(), play_.state.to_row())
    state = play_.state
    assert state.worker == play_.find_workers()[run].name
    assert not play_.world.violations, play_.world.violations


@then("the task goes on with run {run:d} alone, and the loss counts for it")
def expect_alone_with_loss(context, run):
    assert context.lost_worker
    expect_alone(context, run)


@then("the task goes on with run {run:d} alone")
def expect_alone_without_loss(context, run):
    expect_alone(context, run)
    assert not context.play.state.losses, context.play.state.losses


@then("no other run of the task starts within {seconds:g} s")
def expect_no_start(context, seconds):
    context.play.wait(seconds)
    assert set(context.play.find_workers()) == {1}, context.play.find_workers()


@then("a copy is at work within {seconds:g} s")
def expect_copy(context, seconds):
    play_ = context.play
    assert play_.wait_until(lambda: len(play_.find_workers()) == 2, seconds)
    play_.world.links = dict.fromkeys(play_.world.links, "")


@then("both runs go on")
def expect_both(context):
    play_ = context.play
    assert set(play_.find_workers()) == {1, 2}, play_.find_workers()
    assert play_.state.has_copy, play_.state.to_row()


@then("the owner follows both runs")
def expect_followed(context):
    play_ = context.play
    links = play_.world.current.owner.links
    assert links[play_.copy].orders[play_.task].run == 2
    assert play_.task in links[play_.copy].capacity.usages
    assert links[play_.original].orders[play_.task].run == 1
    assert not play_.world.current.owner._copies.orphans


@then("the copy never started")
def expect_no_copy(context):
    play_ = context.play
    play_.wait(2.0)
    assert not play_.world.second_runs
    assert 2 not in play_.find_workers()
    assert not play_.world.violations, play_.world.violations
    for worker in play_.world.workers.values():
        assert not (worker.name == play_.copy and play_.task in worker.done_at)


@when("{count:d} seeded plays with copies run from seed {first:d}")
def run_plays(context, count, first):
    count = int(os.environ.get("COPY_PLAYS", count))
    first = int(os.environ.get("COPY_SEED", first))
    print(f"{count} plays from seed {first}")
    context.results = {seed: play(seed) for seed in range(first, first + count)}


@then("no promise was broken in them")
def expect_promises(context):
    broken = {seed: found for seed, (found, _) in context.results.items() if found}
    assert not broken, broken


@then("at least {count:d} second runs were started in them")
def expect_second_runs(context, count):
    found = sum(second for _, second in context.results.values())
    assert found >= count, found
