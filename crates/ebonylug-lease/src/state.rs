use std::time::{Duration, Instant, SystemTime};

use ebonylug_core::{Fence, Incarnation, Name};
use ebonylug_platform::{Committed, Error, Expect, Row, Transaction, era};

use crate::{LeaseRow, row_key};

/// Durations and intervals of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Duration of a lease from its last renewal.
    pub duration: Duration,
    /// Time before the end of `duration` at which the holder considers the lease expired. Must
    /// exceed the drift between two monotonic clocks over `duration`.
    pub clock_margin: Duration,
    /// Interval between renewals by the holder.
    pub renew_interval: Duration,
    /// Interval between reads of the row by a candidate.
    pub poll_interval: Duration,
    /// Delay after a failed call.
    pub retry_delay: Duration,
    /// Additional delay of a candidate before a takeover.
    pub stagger: Stagger,
}

/// The additional delay of a candidate before a takeover: its index times the interval, plus the
/// base delay.
///
/// The delay reduces conflicting writes when many candidates find the lease available at about the
/// same time. Conflicting writes per takeover, and the median time from the crash of the holder to
/// the takeover, in virtual time over 200 takeovers, with calls of 2 to 20 ms:
///
/// | candidates | no stagger | 20 ms | 200 ms |
/// | --- | --- | --- | --- |
/// | 3 | 0.14, 9.8 s | 0.14, 9.8 s | 0.00, 10.0 s |
/// | 10 | 0.81, 9.7 s | 0.26, 9.8 s | 0.06, 9.9 s |
/// | 50 | 3.77, 9.7 s | 0.56, 9.5 s | 0.04, 9.9 s |
/// | 200 | 10.49, 9.7 s | 0.52, 9.5 s | 0.05, 9.9 s |
/// | 50, all at the same instants | 26.30, 9.8 s | 1.67, 9.4 s | 0.07, 10.0 s |
///
/// The default interval of 200 ms exceeds the duration of a call and avoids nearly all conflicts.
/// It has no effect if the index of every candidate is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stagger {
    /// Index of the candidate. Candidates may share an index. Keep it below 16, so that a takeover
    /// is not delayed much if the candidates with the lowest indices have crashed together with the
    /// holder.
    pub index: u32,
    /// Delay between two consecutive indices. Effective only if it exceeds the duration of a call
    /// to the store.
    pub interval: Duration,
    /// Constant part of the delay.
    pub base_delay: Duration,
}

impl Stagger {
    fn delay(self) -> Duration {
        self.interval * self.index + self.base_delay
    }
}

impl Default for Stagger {
    fn default() -> Self {
        Stagger {
            index: 0,
            interval: Duration::from_millis(200),
            base_delay: Duration::ZERO,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            duration: Duration::from_secs(10),
            clock_margin: Duration::from_secs(1),
            renew_interval: Duration::from_millis(2_500),
            poll_interval: Duration::from_secs(2),
            retry_delay: Duration::from_millis(250),
            stagger: Stagger::default(),
        }
    }
}

/// A call to the store that [`LeaseState::tick`] requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads the row.
    Read,
    /// Applies a conditional write of the row.
    Write(Transaction),
}

/// The result of a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Result of a read; `None` if the row does not exist.
    Read(Result<Option<Row>, Error>),
    /// Result of a write.
    Write(Result<Committed, Error>),
}

/// State of one process as candidate for, or holder of, one lease.
///
/// The caller invokes [`tick`](Self::tick) periodically, about every 100 ms, makes the call that it
/// returns, passes the result to [`apply_reply`](Self::apply_reply), and invokes `tick` again at
/// once.
#[derive(Debug)]
pub struct LeaseState {
    key: Box<str>,
    holder: Name,
    process: Incarnation,
    settings: Settings,
    /// Whether the process competes for the lease.
    campaigning: bool,
    observed: Option<Observed>,
    held: Option<Held>,
    pending: Option<Pending>,
    /// Number of writes so far, which is the token of the last one.
    write_count: u64,
    /// The earliest time of the next call.
    next_call: Instant,
}

/// The last version of the row that this process has read or written.
#[derive(Debug)]
struct Observed {
    /// Version and content, or `None` if the row does not exist.
    row: Option<(u64, LeaseRow)>,
    /// When this version was first observed.
    first_seen: Instant,
    /// When this version was last observed.
    last_seen: Instant,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    /// When this process considers the lease expired.
    until: Instant,
}

/// A write whose result is not known.
#[derive(Clone, Debug)]
struct Pending {
    row: LeaseRow,
    expect: Expect,
    /// When the write was first sent. The duration of the lease is counted from then.
    sent: Instant,
    /// Whether a reply was lost, so that the write may have been applied or may still be applied.
    uncertain: bool,
    /// Whether the condition failed after a lost reply, so that the row must be read to determine
    /// whose write was applied.
    verify: bool,
}

/// Reports whether the row of a lease names its last acquisition. The store may have come back from an older copy that
/// lacks later ones, or a delayed write may have replaced the row since; then the version of the row is of a later era
/// than its token.
fn is_current(version: u64, row: &LeaseRow) -> bool {
    era(version) == era(row.fence.0)
}

/// Returns the fencing token after all that were used before a row got this version.
///
/// No token exceeds the version of the write that acquired the lease with it, so the version of a row that is not
/// current exceeds all tokens. If the store names no era, tokens count acquisitions.
fn next_fence(version: u64, row: &LeaseRow) -> Fence {
    if is_current(version, row) {
        row.fence.next()
    } else {
        Fence(version)
    }
}

impl LeaseState {
    /// Creates a candidate. `process` must be unique among all processes, including earlier
    /// incarnations of this one.
    #[must_use]
    pub fn new(
        lease: &str,
        holder: Name,
        process: Incarnation,
        settings: Settings,
        now: Instant,
    ) -> Self {
        LeaseState {
            key: row_key(lease).into(),
            holder,
            process,
            settings,
            campaigning: true,
            observed: None,
            held: None,
            pending: None,
            write_count: 0,
            next_call: now,
        }
    }

    /// Makes the process a candidate again after it has released the lease.
    pub fn campaign(&mut self, now: Instant) {
        self.campaigning = true;
        self.next_call = self.next_call.min(now);
    }

    /// Releases the lease if it is held under this fencing token, and stops being a candidate. The
    /// lease is no longer held from now on; the next call writes the release to the store.
    pub fn release(&mut self, now: Instant, fence: Fence) {
        if self.held.take_if(|held| held.fence == fence).is_some() {
            self.campaigning = false;
            self.pending = None;
            self.next_call = now;
        }
    }

    /// Returns the fencing token if the lease is held and has not expired.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| held.fence)
    }

    /// Returns the version of the row, if the lease is held and no write of the row is pending. A
    /// transaction that requires it has no effect once the lease was renewed or acquired by another
    /// process.
    #[must_use]
    pub fn held_version(&self, now: Instant) -> Option<u64> {
        self.fence(now)?;
        let row = self.observed.as_ref()?.row.as_ref();
        row.filter(|_| self.pending.is_none())
            .map(|(version, _)| *version)
    }

    /// Returns the time until the lease expires at this process; zero if it is not held.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        let until = self.held.map(|held| held.until);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the key of the row in the store.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the call to make now, if any. `wall` is written to the row for display only.
    pub fn tick(&mut self, now: Instant, wall: SystemTime) -> Option<Call> {
        self.expire_held(now);
        if now < self.next_call {
            return None;
        }
        if let Some(pending) = &mut self.pending {
            // The last call had no conclusive reply, or was cancelled.
            pending.uncertain = true;
            return Some(if pending.verify {
                Call::Read
            } else {
                self.write_call()
            });
        }
        let fence = match self.next_fence(now) {
            Some(fence) if self.held.is_some() || !self.campaigning || self.read_recently(now) => {
                fence
            }
            _ => return self.campaigning.then_some(Call::Read),
        };
        self.write_count += 1;
        let row = LeaseRow {
            holder: self.holder.clone(),
            process: self.process,
            token: self.write_count,
            fence,
            duration: self.settings.duration,
            expires: wall + self.settings.duration,
            released: !self.campaigning,
        };
        let current = self
            .observed
            .as_ref()
            .and_then(|observed| observed.row.as_ref());
        self.pending = Some(Pending {
            expect: current.map_or(Expect::Absent, |(version, _)| Expect::Version(*version)),
            row,
            sent: now,
            uncertain: false,
            verify: false,
        });
        Some(self.write_call())
    }

    /// Applies the reply to the last call.
    pub fn apply_reply(&mut self, now: Instant, reply: Reply) {
        match reply {
            Reply::Read(Ok(row)) => self.apply_read(now, row.as_ref()),
            Reply::Write(Ok(committed)) => self.confirm_write(now, committed.version),
            Reply::Write(Err(error)) => self.fail_write(now, &error),
            Reply::Read(Err(_)) => self.next_call = now + self.settings.retry_delay,
        }
        self.expire_held(now);
    }

    /// Drops a lease that has expired, and a pending write that would extend it. If that write is
    /// applied later, the row names this process, which does not consider itself the holder and may
    /// acquire the lease again at once with a new fencing token.
    fn expire_held(&mut self, now: Instant) {
        if self.held.take_if(|held| now >= held.until).is_some() {
            tracing::warn!(
                "lease: {} expired because it was not renewed in time",
                self.key
            );
            self.pending = None;
            self.reread_row(now);
        }
    }

    /// Returns the fencing token of the row to write now, if any: for an acquisition, a renewal or
    /// a release.
    fn next_fence(&self, now: Instant) -> Option<Fence> {
        let observed = self.observed.as_ref()?;
        let current = observed.row.as_ref().map(|(_, row)| row);
        if !self.campaigning {
            return current.filter(|row| self.is_own(row)).map(|row| row.fence);
        }
        if let Some(held) = self.held {
            return Some(held.fence);
        }
        match &observed.row {
            Some((version, row)) => {
                let available = now >= self.available_at(observed, *version, row);
                available.then(|| next_fence(*version, row))
            }
            None => Some(Fence(1)),
        }
    }

    /// Reports whether the row was observed within the retry delay. Without a fresh read before an
    /// acquisition, the write would conflict with that of a candidate that has just acquired the
    /// lease.
    fn read_recently(&self, now: Instant) -> bool {
        let recent = |observed: &Observed| now < observed.last_seen + self.settings.retry_delay;
        self.observed.as_ref().is_some_and(recent)
    }

    /// Reports whether this process wrote the row and has not released the lease.
    fn is_own(&self, row: &LeaseRow) -> bool {
        row.process == self.process && !row.released
    }

    /// Returns when this process may acquire the lease, provided that the row does not change.
    ///
    /// A row whose token is of an earlier era than its version may lack later acquisitions, by any process, so even its
    /// own process waits for them to expire. They were renewed before the era began, and thus before the row was seen.
    fn available_at(&self, observed: &Observed, version: u64, row: &LeaseRow) -> Instant {
        let current = is_current(version, row);
        if current && self.is_own(row) {
            return observed.first_seen;
        }
        let lease = if current && row.released {
            Duration::ZERO
        } else {
            row.duration
        };
        observed.first_seen + lease + self.settings.stagger.delay()
    }

    /// Returns the call for the pending write.
    fn write_call(&self) -> Call {
        let pending = self.pending.as_ref().expect("a write is pending");
        let transaction = Transaction::new()
            .expect(&self.key, pending.expect)
            .put(&self.key, &pending.row.to_text());
        Call::Write(transaction)
    }

    /// Applies the result of a read, which also decides on a write that is to be verified.
    fn apply_read(&mut self, now: Instant, row: Option<&Row>) {
        self.next_call = now + self.settings.poll_interval;
        let parse = |row: &Row| Some((row.version, serde_json::from_str(&row.value).ok()?));
        let current: Option<(u64, LeaseRow)> = row.and_then(parse);
        if row.is_some() && current.is_none() {
            tracing::error!("lease: cannot parse the content of row {}", self.key);
            return;
        }
        if let Some(pending) = self.pending.take_if(|pending| pending.verify) {
            let own = current.as_ref().filter(|(_, row)| *row == pending.row);
            if let Some((version, _)) = own {
                let version = *version;
                self.pending = Some(pending);
                return self.confirm_write(now, version);
            }
            self.held = None;
        }
        let unchanged = self.observed.as_ref().is_some_and(|observed| {
            let version = |row: &Option<(u64, LeaseRow)>| row.as_ref().map(|(version, _)| *version);
            version(&observed.row) == version(&current)
        });
        let first_seen = match &self.observed {
            Some(observed) if unchanged => observed.first_seen,
            _ => now,
        };
        let observed = Observed {
            row: current,
            first_seen,
            last_seen: now,
        };
        let available = observed.row.as_ref().map_or(now, |(version, row)| {
            self.available_at(&observed, *version, row)
        });
        self.next_call = self.next_call.min(available.max(now));
        self.observed = Some(observed);
    }

    /// Applies the confirmation of the pending write.
    fn confirm_write(&mut self, now: Instant, version: u64) {
        let Some(pending) = self.pending.take() else {
            // The lease was released during the call.
            return self.reread_row(now);
        };
        let until = pending.sent + self.settings.duration - self.settings.clock_margin;
        let fence = pending.row.fence;
        let current = is_current(version, &pending.row);
        if !current && self.campaigning {
            tracing::warn!(
                "lease: {} was written in a later era than {fence} was chosen in",
                self.key
            );
        }
        self.held = (self.campaigning && current).then_some(Held { fence, until });
        self.next_call = pending.sent
            + if current {
                self.settings.renew_interval
            } else {
                self.settings.retry_delay
            };
        self.observed = Some(Observed {
            row: Some((version, pending.row)),
            first_seen: now,
            last_seen: now,
        });
    }

    /// Handles a failed write. A write that may have been applied stays pending; a conflict ends
    /// the lease.
    fn fail_write(&mut self, now: Instant, error: &Error) {
        self.next_call = now + self.settings.retry_delay;
        let Some(pending) = &mut self.pending else {
            return;
        };
        match error {
            Error::Conflict { .. } if pending.uncertain => {
                pending.verify = true;
                self.next_call = now;
            }
            Error::Conflict { .. } => {
                self.pending = None;
                self.held = None;
                self.reread_row(now);
            }
            Error::Unavailable | Error::Throttled if !pending.uncertain => self.pending = None,
            Error::Unavailable | Error::Throttled => {}
            _ => pending.uncertain = true,
        }
    }

    /// Discards the observed row, so that the next call reads it again.
    fn reread_row(&mut self, now: Instant) {
        self.observed = None;
        self.next_call = now;
    }
}
