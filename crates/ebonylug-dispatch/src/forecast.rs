//! How long requests of one service will wait at this entry.
//!
//! Handles bursts of load that are longer than callers wait: without a forecast, a request is held for most
//! of its latency objective and then refused, and its caller comes back while the service is still full.

use std::time::{Duration, Instant};

/// Time constant of the averages. Bursts last 3 to 6 s.
const AVERAGE_TIME: Duration = Duration::from_secs(2);
/// Time and finished requests after which the averages are used. Before, today's rule decides.
const MIN_TIME: Duration = Duration::from_secs(2);
const MIN_FINISHES: u32 = 8;
/// Share of the freed slots that a rank is assumed to get at least, whatever more urgent ranks send. It
/// bounds the forecast while urgent requests arrive in a group.
const MIN_RANK_SHARE: f64 = 0.1;
/// Share of its rank's slots that late requests are assumed to get at least, whatever arrives in time. A
/// higher one made refused callers return within the same burst, where they displaced timely requests.
const MIN_LATE_SHARE: f64 = 0.05;
/// The lowest rate that is assumed, in requests per second.
const MIN_RATE: f64 = 0.01;
/// Ranks that are told apart. The last one stands for all further ranks.
const RANKS: usize = 3;

/// The load of all entries on a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotUse {
    /// Slots in use.
    pub(crate) busy: u32,
    /// Entries that share the targets.
    pub(crate) entries: usize,
}

/// Rates of one service, measured at this entry.
#[derive(Debug)]
pub(crate) struct Forecast {
    started: Instant,
    updated: Instant,
    finishes: u32,
    in_flight: u32,
    mean_in_flight: f64,
    finish_rate: f64,
    /// Requests that arrive per second, by rank.
    arrival_rates: [f64; RANKS],
    /// The time of the last return that a refused caller was told, by rank.
    promised: [Option<Instant>; RANKS],
}

impl Forecast {
    pub(crate) fn new(now: Instant) -> Self {
        Forecast {
            started: now,
            updated: now,
            finishes: 0,
            in_flight: 0,
            mean_in_flight: 0.0,
            finish_rate: 0.0,
            arrival_rates: [0.0; RANKS],
            promised: [None; RANKS],
        }
    }

    pub(crate) fn record_arrival(&mut self, now: Instant, rank: u8) {
        self.update(now);
        self.arrival_rates[index(rank)] += 1.0 / AVERAGE_TIME.as_secs_f64();
    }

    pub(crate) fn record_send(&mut self, now: Instant) {
        self.update(now);
        self.in_flight += 1;
    }

    pub(crate) fn record_finish(&mut self, now: Instant) {
        self.update(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.finishes = self.finishes.saturating_add(1);
        self.finish_rate += 1.0 / AVERAGE_TIME.as_secs_f64();
    }

    /// Reports whether enough has been observed for a forecast.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.finishes >= MIN_FINISHES && now.saturating_duration_since(self.started) >= MIN_TIME
    }

    /// Returns the time until the request at this position in the queue, counted from 0, is sent.
    pub(crate) fn wait(
        &mut self,
        now: Instant,
        rank: u8,
        position: usize,
        slots: SlotUse,
    ) -> Duration {
        self.update(now);
        time_for(position, self.rank_rate(rank, slots))
    }

    /// Returns the same for a request that lets all requests go first that can be in time.
    pub(crate) fn late_wait(
        &mut self,
        now: Instant,
        rank: u8,
        position: usize,
        slots: SlotUse,
    ) -> Duration {
        self.update(now);
        time_for(position, self.late_rate(rank, slots))
    }

    /// Returns the time after which a refused caller finds room behind `waiting` requests and behind those that
    /// were told to return earlier, and reserves it. Returns `None` if that is after `max_time`.
    pub(crate) fn promise(
        &mut self,
        now: Instant,
        rank: u8,
        waiting: usize,
        slots: SlotUse,
        max_time: Duration,
    ) -> Option<Duration> {
        self.update(now);
        let rate = self.late_rate(rank, slots);
        let promised = &mut self.promised[index(rank)];
        let first = now + time_for(waiting, rate);
        let room = promised.map_or(first, |last| first.max(last + time_for(0, rate)));
        let time = room - now;
        if time > max_time {
            return None;
        }
        *promised = Some(room);
        Some(time)
    }

    /// Returns the rate at which this entry can send requests of a rank, per second.
    fn rank_rate(&self, rank: u8, slots: SlotUse) -> f64 {
        let freed = self.freed_rate(slots);
        let urgent: f64 = self.arrival_rates[..index(rank)].iter().sum();
        (freed - urgent).max(freed * MIN_RANK_SHARE).max(MIN_RATE)
    }

    fn late_rate(&self, rank: u8, slots: SlotUse) -> f64 {
        let rate = self.rank_rate(rank, slots);
        let arrivals = self.arrival_rates[index(rank)];
        (rate - arrivals).max(rate * MIN_LATE_SHARE).max(MIN_RATE)
    }

    /// Returns this entry's share of the rate at which slots become free. The entry's own rate is a lower
    /// bound, since an entry that hears from no peer knows only its own requests.
    fn freed_rate(&self, slots: SlotUse) -> f64 {
        if self.mean_in_flight < 0.1 {
            return self.finish_rate;
        }
        let per_slot = self.finish_rate / self.mean_in_flight;
        let share = f64::from(slots.busy) * per_slot / slots.entries.max(1) as f64;
        share.max(self.finish_rate)
    }

    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        let weight = 1.0 - (-elapsed / AVERAGE_TIME.as_secs_f64()).exp();
        self.mean_in_flight += (f64::from(self.in_flight) - self.mean_in_flight) * weight;
        self.finish_rate -= self.finish_rate * weight;
        for rate in &mut self.arrival_rates {
            *rate -= *rate * weight;
        }
    }
}

fn index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

fn time_for(position: usize, rate: f64) -> Duration {
    Duration::from_secs_f64((position + 1) as f64 / rate)
}
