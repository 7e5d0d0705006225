"""Anticipates the size of bursts from those seen before.

The jobs of a burst arrive over some seconds, and a machine takes seconds to move, so a
pool that only follows its arrivals has the machines when half of the burst is over.
Bursts of one deployment are of similar size: once a few jobs show the onset of one, the
machines that former ones needed are ordered at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["BurstHistory"]

# A burst begins when the offered load reaches this part of the expected peak and comes
# from at least ONSET_JOBS recent jobs, as a single large job is no burst.
ONSET_SHARE = 0.25
ONSET_JOBS = 2
# It has ended when demand and offered load are below this part of its peak.
END_SHARE = 0.3
# For how long after the onset a burst is expected to grow to the usual size.
GROWTH_S = 3.0
# An offered load above the expected peak counts up to this multiple of it: the sum of a
# few jobs' estimates varies much more than what they use.
MAX_PEAK_FACTOR = 1.25
# Time over which the demand is averaged: peaks of fractions of a second can wait.
SMOOTHING_S = 0.5
# Smaller bursts fit into any pool.
MIN_PEAK_MACHINES = 1.0
# Weight of the newest burst in the expected peak of its pool.
PEAK_WEIGHT = 0.5


@dataclass(slots=True)
class _PoolBursts:
    """The demand of one pool, its current burst and the peak of former ones."""

    observed_at: float
    demand: float = 0.0
    began_at: float | None = None
    peak: float = 0.0
    usual_peak: float | None = None


@dataclass(slots=True)
class BurstHistory:
    """The bursts of all pools, in machines."""

    _by_pool: dict[str, _PoolBursts] = field(default_factory=dict)

    def expected_peak(self, pool: str) -> float | None:
        """Return the usual peak of a pool's bursts, or that of other pools."""
        own = self._by_pool.get(pool)
        if own is not None and own.usual_peak is not None:
            return own.usual_peak
        peaks = [b.usual_peak for b in self._by_pool.values() if b.usual_peak]
        return sum(peaks) / len(peaks) if peaks else None

    def anticipate(
        self, pool: str, demand: float, offered: float, jobs: int, now: float
    ) -> float:
        """Record a pool's demand; return the load to prepare for.

        ``demand`` is what tasks use or wait for, ``offered`` the rate at which work
        arrives and ``jobs`` the number of jobs that it comes from.
        """
        bursts = self._by_pool.setdefault(pool, _PoolBursts(now))
        weight = min(1.0, (now - bursts.observed_at) / SMOOTHING_S)
        bursts.demand += weight * (demand - bursts.demand)
        bursts.observed_at = now
        expected = self.expected_peak(pool)
        self._update_burst(bursts, offered, jobs, expected, now)
        if expected is None:
            return offered
        limit = MAX_PEAK_FACTOR * max(expected, bursts.peak, demand)
        growing = bursts.began_at is not None and now < bursts.began_at + GROWTH_S
        return min(max(offered, expected if growing else 0.0), limit)

    @staticmethod
    def _update_burst(
        bursts: _PoolBursts,
        offered: float,
        jobs: int,
        expected: float | None,
        now: float,
    ) -> None:
        if bursts.began_at is None:
            onset = max(MIN_PEAK_MACHINES, ONSET_SHARE * (expected or 0.0))
            if offered >= onset and jobs >= ONSET_JOBS:
                bursts.began_at = now
                bursts.peak = 0.0
            return
        bursts.peak = max(bursts.peak, bursts.demand)
        if max(bursts.demand, offered) >= END_SHARE * bursts.peak:
            return
        if bursts.peak >= MIN_PEAK_MACHINES:
            usual = bursts.peak if bursts.usual_peak is None else bursts.usual_peak
            bursts.usual_peak = usual + PEAK_WEIGHT * (bursts.peak - usual)
        bursts.began_at = None
