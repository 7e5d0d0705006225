"""A minion falls silent with short tasks on it, while its pool has room elsewhere.

Callers of those tasks wait until its leases have certainly lapsed, so the leases that
an owner grants are shorter than the longest that minions accept.
"""

from dataclasses import replace

from geraniumshore_scheduler import Authority, Scheduler, StartOutcome, Step
from tests.common.schedule_parts import SMALL, TIMES, Fleet, configuration, job, listing

SHORT_LEASES = replace(TIMES, lease=2.0)
JOB = "a" * 16


class ShortLeaseFleet(Fleet):
    """Two minions; the first has the task of a job."""

    def __init__(self) -> None:
        super().__init__(2)
        self.scheduler = Scheduler(Authority(5, 0.0, 0.0), SHORT_LEASES)
        self.scheduler.set_configuration(configuration())
        self.scheduler.set_listings({f"i-{n}": listing(n) for n in range(2)}, 0.0)
        for number in range(2):
            self.report(f"i-{number}")
        self.add(job(JOB, Step(1, SMALL, 500)))
        batch = self.scheduler.plan(self.now, 0)
        assert batch is not None
        self.scheduler.on_durable(batch)
        (self.order,) = batch.starts
        self.minion_id = self.order.run.minion_id
        self.until_ms = self.scheduler.prepare_start(self.order.run, self.now)

    def is_freed_at(self, now: float) -> bool:
        """Return whether the task may start elsewhere, read with the log at ``now``."""
        self.scheduler.authority.confirm(now)
        self.scheduler.plan(now, 0)
        return any(d.event == "run freed" for d in self.scheduler.take_decisions())

    def fall_silent(self) -> None:
        """Let the next poll of the task's minion fail."""
        self.now = 1.0
        self.scheduler.on_poll_unanswered(self.poll(self.minion_id), self.now)


def test_leases_have_the_length_that_the_owner_grants():
    fleet = ShortLeaseFleet()
    assert fleet.until_ms == 2000
    fleet.now = 1.0
    assert fleet.poll(fleet.minion_id).until_ms == 3000


def test_a_confirmed_task_starts_elsewhere_after_the_granted_lease():
    fleet = ShortLeaseFleet()
    fleet.scheduler.on_start_answer(fleet.order.run, StartOutcome.STARTED, 0.1)
    fleet.fall_silent()
    # The unanswered renewal of 1 s may have reached the minion.
    assert not fleet.is_freed_at(1.0 + SHORT_LEASES.granted_lapse - 0.1)
    assert fleet.is_freed_at(1.0 + SHORT_LEASES.granted_lapse + 0.1)


def test_an_unanswered_start_is_awaited_for_the_longest_lease():
    fleet = ShortLeaseFleet()
    fleet.scheduler.on_start_answer(fleet.order.run, StartOutcome.NO_ANSWER, 0.5)
    fleet.fall_silent()
    # A restarted minion may have carried it out, with a lease as long as it accepts.
    assert not fleet.is_freed_at(SHORT_LEASES.lapse - 0.1)


def test_a_task_is_not_freed_while_a_newer_owner_may_have_adopted_it():
    fleet = ShortLeaseFleet()
    fleet.scheduler.on_start_answer(fleet.order.run, StartOutcome.STARTED, 0.1)
    fleet.fall_silent()
    fleet.scheduler.plan(20.0, 0)
    assert not any(d.event == "run freed" for d in fleet.scheduler.take_decisions())
