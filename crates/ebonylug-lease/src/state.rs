use std::time::{Duration, Instant, SystemTime};

use ebonylug_core::{Fence, Incarnation, Name};
use ebonylug_platform::{Committed, Error, Expect, Row, Transaction};

use crate::{LeaseRow, row_key};

/// Intervals of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a lease lasts after the last renewal.
    pub duration: Duration,
    /// How much earlier the holder regards it as lost. Must exceed the difference of two
    /// monotonic clocks over `duration`.
    pub clock_margin: Duration,
    /// How often the holder renews.
    pub renew_interval: Duration,
    /// How often a candidate reads the row.
    pub poll_interval: Duration,
    /// Wait after a call that failed.
    pub retry_delay: Duration,
    /// Additional wait of a candidate before a takeover: its index times the interval, plus the
    /// skew.
    pub stagger: Stagger,
}

/// The additional wait of a candidate before a takeover.
///
/// Refused writes per takeover, and the median time from the death of the holder to the takeover,
/// in virtual time over 200 takeovers, with calls of 2 to 20 ms:
///
/// | candidates | no stagger | 20 ms | 200 ms |
/// | --- | --- | --- | --- |
/// | 3 | 0.14, 9.8 s | 0.14, 9.8 s | 0.00, 10.0 s |
/// | 10 | 0.81, 9.7 s | 0.26, 9.8 s | 0.06, 9.9 s |
/// | 50 | 3.77, 9.7 s | 0.56, 9.5 s | 0.04, 9.9 s |
/// | 200 | 10.49, 9.7 s | 0.52, 9.5 s | 0.05, 9.9 s |
/// | 50, all at the same instants | 26.30, 9.8 s | 1.67, 9.4 s | 0.07, 10.0 s |
///
/// The default interval is therefore 200 ms. It has no effect while all indices are 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stagger {
    /// The place of the candidate among all candidates. Best kept below 16, by sharing places:
    /// the first candidates may be gone together with the holder.
    pub index: u32,
    /// The wait between two candidates. Must exceed a call to the table to be of use.
    pub interval: Duration,
    /// A constant wait.
    pub base_delay: Duration,
}

impl Stagger {
    fn wait(self) -> Duration {
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

/// A call to the table that the state asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the row.
    Read,
    /// Apply the transaction.
    Write(Transaction),
}

/// The reply to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To a read.
    Read(Result<Option<Row>, Error>),
    /// To a write.
    Write(Result<Committed, Error>),
}

/// One process's part in one lease: candidate or holder.
///
/// The owner calls [`tick`](Self::tick) often (every 100 ms), makes the call that it returns,
/// reports the reply with [`apply_reply`](Self::apply_reply), and ticks again at once.
#[derive(Debug)]
pub struct LeaseState {
    key: Box<str>,
    holder: Name,
    process: Incarnation,
    settings: Settings,
    /// Whether the process wants the lease.
    campaigning: bool,
    seen: Option<Seen>,
    held: Option<Held>,
    pending: Option<Pending>,
    /// Number of the latest write.
    writes: u64,
    next_call: Instant,
}

/// What the row is, as far as this process knows.
#[derive(Debug)]
struct Seen {
    row: Option<(u64, LeaseRow)>,
    /// When this version of the row was first seen.
    since: Instant,
    /// When it was last seen.
    latest: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    until: Instant,
}

/// A write whose reply has not arrived, or was lost.
#[derive(Clone, Debug)]
struct Pending {
    row: LeaseRow,
    expect: Expect,
    sent: Instant,
    /// A reply was lost: the write may have been applied, or may still be.
    unsure: bool,
    /// The condition failed after a lost reply: reading the row tells whose write it was.
    read_back: bool,
}

impl LeaseState {
    /// Creates a candidate. `process` must differ from that of any other process, and from that
    /// of an earlier life of this one.
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
            seen: None,
            held: None,
            pending: None,
            writes: 0,
            next_call: now,
        }
    }

    /// Makes the process a candidate again after it has given up the lease.
    pub fn campaign(&mut self, now: Instant) {
        self.campaigning = true;
        self.next_call = self.next_call.min(now);
    }

    /// Gives the lease back if it is held under this fencing number, and stops being a candidate.
    /// The lease counts as lost at once; the next call tells the other candidates.
    pub fn release(&mut self, now: Instant, fence: Fence) {
        if self.held.take_if(|held| held.fence == fence).is_some() {
            self.campaigning = false;
            self.pending = None;
            self.next_call = now;
        }
    }

    /// Returns the fencing number if the lease is held and has not ended.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| held.fence)
    }

    /// Returns the key of the row.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the call to make now, if any. `wall` is only displayed.
    pub fn tick(&mut self, now: Instant, wall: SystemTime) -> Option<Call> {
        self.drop_ended(now);
        if now < self.next_call {
            return None;
        }
        if let Some(pending) = &mut self.pending {
            // There was no clear reply to the last call, or its caller was cancelled.
            pending.unsure = true;
            return Some(if pending.read_back {
                Call::Read
            } else {
                self.write()
            });
        }
        let fence = match self.next_fence(now) {
            Some(fence) if self.held.is_some() || !self.campaigning || self.is_fresh(now) => fence,
            _ => return self.campaigning.then_some(Call::Read),
        };
        self.writes += 1;
        let row = LeaseRow {
            holder: self.holder.clone(),
            process: self.process,
            token: self.writes,
            fence,
            duration: self.settings.duration,
            expires: wall + self.settings.duration,
            released: !self.campaigning,
        };
        let present = self.seen.as_ref().and_then(|seen| seen.row.as_ref());
        self.pending = Some(Pending {
            expect: present.map_or(Expect::Absent, |(version, _)| Expect::Version(*version)),
            row,
            sent: now,
            unsure: false,
            read_back: false,
        });
        Some(self.write())
    }

    /// Takes the reply to a call.
    pub fn apply_reply(&mut self, now: Instant, reply: Reply) {
        match reply {
            Reply::Read(Ok(row)) => self.read(now, row.as_ref()),
            Reply::Write(Ok(committed)) => self.written(now, committed.version),
            Reply::Write(Err(error)) => self.write_failed(now, &error),
            Reply::Read(Err(_)) => self.next_call = now + self.settings.retry_delay,
        }
        self.drop_ended(now);
    }

    /// Forgets a lease that has ended, and a write that would extend it. Should that write take
    /// effect later, the row names this process, which does not regard itself as the holder and
    /// may take the lease again at once, with a new fencing number.
    fn drop_ended(&mut self, now: Instant) {
        if self.held.take_if(|held| now >= held.until).is_some() {
            tracing::warn!(
                "lease: lost {} because it was not renewed in time",
                self.key
            );
            self.pending = None;
            self.forget(now);
        }
    }

    /// Returns the fencing number of the row to write now, if any: of a new holder, of a renewal,
    /// or of a row that is given back.
    fn next_fence(&self, now: Instant) -> Option<Fence> {
        let seen = self.seen.as_ref()?;
        let present = seen.row.as_ref().map(|(_, row)| row);
        if !self.campaigning {
            return present.filter(|row| self.is_own(row)).map(|row| row.fence);
        }
        if let Some(held) = self.held {
            return Some(held.fence);
        }
        match present {
            Some(row) => (now >= self.free_at(seen, row)).then(|| row.fence.next()),
            None => Some(Fence(1)),
        }
    }

    /// Reports whether the row was read just now. A candidate that takes the lease without looking
    /// again collides with the one that took it a moment before.
    fn is_fresh(&self, now: Instant) -> bool {
        let fresh = |seen: &Seen| now < seen.latest + self.settings.retry_delay;
        self.seen.as_ref().is_some_and(fresh)
    }

    /// Reports whether this process wrote the row and has not given it back.
    fn is_own(&self, row: &LeaseRow) -> bool {
        row.process == self.process && !row.released
    }

    /// Returns when this process may take the lease, if the row does not change before.
    fn free_at(&self, seen: &Seen, row: &LeaseRow) -> Instant {
        if self.is_own(row) {
            return seen.since;
        }
        let lease = if row.released {
            Duration::ZERO
        } else {
            row.duration
        };
        seen.since + lease + self.settings.stagger.wait()
    }

    fn write(&self) -> Call {
        let pending = self.pending.as_ref().expect("a write is pending");
        let transaction = Transaction::new()
            .expect(&self.key, pending.expect)
            .put(&self.key, &pending.row.to_text());
        Call::Write(transaction)
    }

    fn read(&mut self, now: Instant, row: Option<&Row>) {
        self.next_call = now + self.settings.poll_interval;
        let parse = |row: &Row| Some((row.version, serde_json::from_str(&row.value).ok()?));
        let present: Option<(u64, LeaseRow)> = row.and_then(parse);
        if row.is_some() && present.is_none() {
            tracing::error!("lease: row {} is not valid", self.key);
            return;
        }
        if let Some(pending) = self.pending.take_if(|pending| pending.read_back) {
            let own = present.as_ref().filter(|(_, row)| *row == pending.row);
            if let Some((version, _)) = own {
                let version = *version;
                self.pending = Some(pending);
                return self.written(now, version);
            }
            self.held = None;
        }
        let unchanged = self.seen.as_ref().is_some_and(|seen| {
            let version = |row: &Option<(u64, LeaseRow)>| row.as_ref().map(|(version, _)| *version);
            version(&seen.row) == version(&present)
        });
        let since = match &self.seen {
            Some(seen) if unchanged => seen.since,
            _ => now,
        };
        let seen = Seen {
            row: present,
            since,
            latest: now,
        };
        let free = seen
            .row
            .as_ref()
            .map_or(now, |(_, row)| self.free_at(&seen, row));
        self.next_call = self.next_call.min(free.max(now));
        self.seen = Some(seen);
    }

    fn written(&mut self, now: Instant, version: u64) {
        let Some(pending) = self.pending.take() else {
            // The lease was given up during the call.
            return self.forget(now);
        };
        let until = pending.sent + self.settings.duration - self.settings.clock_margin;
        let fence = pending.row.fence;
        self.held = self.campaigning.then_some(Held { fence, until });
        self.next_call = pending.sent + self.settings.renew_interval;
        self.seen = Some(Seen {
            row: Some((version, pending.row)),
            since: now,
            latest: now,
        });
    }

    fn write_failed(&mut self, now: Instant, error: &Error) {
        self.next_call = now + self.settings.retry_delay;
        let Some(pending) = &mut self.pending else {
            return;
        };
        match error {
            Error::Conflict { .. } if pending.unsure => {
                pending.read_back = true;
                self.next_call = now;
            }
            Error::Conflict { .. } => {
                self.pending = None;
                self.held = None;
                self.forget(now);
            }
            Error::Unavailable | Error::Throttled if !pending.unsure => self.pending = None,
            Error::Unavailable | Error::Throttled => {}
            _ => pending.unsure = true,
        }
    }

    /// Makes the next call a read of the row.
    fn forget(&mut self, now: Instant) {
        self.seen = None;
        self.next_call = now;
    }
}
