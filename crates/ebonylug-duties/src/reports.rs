use std::collections::BTreeMap;
use std::time::Duration;

use ebonylug_core::Fence;
use ebonylug_platform::{Expect, Transaction};

use crate::duties::{Duties, Readiness};

/// Key of the row with the highest window that has ever had a report.
pub const HEAD_KEY: &str = "usage/head";
/// Common prefix of the keys of all rows of usage reports.
pub const REPORT_PREFIX: &str = "usage/";

/// Pause after a call that was not accepted. The limit on calls is far higher.
const RESEND_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a failed call to the store.
const STORE_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of reports that wait for their acceptance. Earlier ones are given up; they are late by
/// minutes then.
const MAX_OPEN: usize = 24;

/// Lease time that must remain beyond the time-out of a call when it is sent.
const CALL_MARGIN: Duration = Duration::from_millis(100);

/// Reports whether a holder whose lease lasts for `left` may send a call with this time-out.
#[must_use]
pub fn may_send(left: Duration, timeout: Duration) -> bool {
    left > timeout + CALL_MARGIN
}

/// Returns the key of the row of a window's report.
#[must_use]
pub fn report_key(window: u64) -> String {
    format!("{REPORT_PREFIX}{window:012}")
}

fn parse_key(key: &str) -> Option<u64> {
    key.strip_prefix(REPORT_PREFIX)?.parse().ok()
}

/// A new report, which is written to the store before it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Creation {
    /// The window.
    pub window: u64,
    /// Part of the expected counts that is missing.
    pub untold: f64,
}

/// What the holder does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read all rows of reports.
    Load,
    /// Write a report with the current counts.
    Create(Creation),
    /// Send the bytes of a report.
    Send {
        /// The window.
        window: u64,
        /// The body, exactly as in the store.
        body: Box<str>,
    },
    /// Log that windows get no report.
    LeaveOut {
        /// The first window.
        window: u64,
        /// The number of windows.
        count: u64,
        /// Why.
        reason: &'static str,
    },
}

/// The rows of reports, as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Key, version and value of each row.
    pub rows: Vec<(Box<str>, u64, Box<str>)>,
}

/// State of the usage reports at one entry.
///
/// Guarantees that a body is only sent if the store has it as the report of its window. All writes require
/// the version of the head row that was read or written last, and the head only rises. Thus a window never
/// gets two reports, even if a write is applied long after it was sent. In a store that has come back from an
/// older copy, such a write may replace a report that was sent; [`settle`](Reports::settle) withdraws it.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// The fencing token under which the rows were read. Another holder may have written before.
    loaded: Option<Fence>,
    /// Highest window that has ever had a report, and the version of that row.
    head: Option<(u64, u64)>,
    /// Reports in the store that are not accepted, by window.
    open: BTreeMap<u64, Box<str>>,
    /// Reports in the store whose rows can be removed.
    done: Vec<u64>,
    /// The window of the last failed call. The next call is for another window, so that one that is never
    /// accepted does not delay the others.
    failed: u64,
    /// The next window to consider, after those that were left out.
    next: u64,
    /// The earliest time of the next call of each kind.
    store_after: Duration,
    send_after: Duration,
}

impl Reports {
    /// Returns the next action of the holder with this fencing token.
    pub fn next(&mut self, uptime: Duration, fence: Fence, duties: &Duties) -> Option<Action> {
        if self.loaded != Some(fence) {
            return (uptime >= self.store_after).then_some(Action::Load);
        }
        if let Some((head, _)) = self.head {
            self.next = self.next.max(head + 1);
        }
        let window = duties.next_window(uptime).max(self.next);
        if self.next > 0 && window > self.next {
            let action = Action::LeaveOut {
                window: self.next,
                count: window - self.next,
                reason: "too late",
            };
            self.next = window;
            return Some(action);
        }
        match duties.readiness(uptime, window) {
            Readiness::Ready { untold } if uptime >= self.store_after => {
                return Some(Action::Create(Creation { window, untold }));
            }
            Readiness::Ready { .. } | Readiness::Wait => {}
            Readiness::LeftOut(reason) => {
                self.next = window + 1;
                return Some(Action::LeaveOut {
                    window,
                    count: 1,
                    reason,
                });
            }
        }
        if uptime < self.send_after {
            return None;
        }
        let after = self.open.range(self.failed.saturating_add(1)..).next();
        let (&window, body) = after.or_else(|| self.open.first_key_value())?;
        Some(Action::Send {
            window,
            body: body.clone(),
        })
    }

    /// Returns the transaction that writes the report of a window, if the holder's row of the lease still has
    /// the version `lease`. It removes the rows of accepted reports.
    #[must_use]
    pub fn transaction(&self, lease: (&str, u64), window: u64, body: &str) -> Transaction {
        let head = self.head.map(|(_, version)| version);
        let transaction = Transaction::new()
            .expect(lease.0, Expect::Version(lease.1))
            .expect(HEAD_KEY, head.map_or(Expect::Absent, Expect::Version))
            .put(HEAD_KEY, &window.to_string())
            .put(&report_key(window), body);
        let done = self.done.iter();
        done.fold(transaction, |transaction, &window| {
            transaction.delete(&report_key(window))
        })
    }

    /// Returns the highest window that has ever had a report, as far as known.
    #[must_use]
    pub fn head(&self) -> Option<u64> {
        self.head.map(|(window, _)| window)
    }

    /// Returns the number of reports that are not accepted.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Adopts the rows in the store, read under this fencing token. Returns whether they are valid.
    pub fn apply_load(&mut self, fence: Fence, loaded: &Loaded) -> bool {
        let head = loaded.rows.iter().find(|(key, _, _)| **key == *HEAD_KEY);
        let head = match head {
            Some((_, version, value)) => match value.parse() {
                Ok(window) => Some((window, *version)),
                Err(_) => return false,
            },
            None => None,
        };
        let done = std::mem::take(&mut self.done);
        self.open.clear();
        for (key, _, value) in &loaded.rows {
            let Some(window) = parse_key(key) else {
                continue;
            };
            if done.contains(&window) {
                self.done.push(window);
            } else {
                self.open.insert(window, value.clone());
            }
        }
        self.head = head;
        self.loaded = Some(fence);
        self.limit_open();
        true
    }

    /// Records that the store has the report of a window. `version` is that of the transaction.
    pub fn confirm_creation(&mut self, window: u64, version: u64, body: Box<str>) {
        self.head = Some((window, version));
        self.open.insert(window, body);
        self.done.clear();
        self.limit_open();
    }

    /// Tells `duties` which reports the store has, and withdraws those of windows that are known to have other ones.
    /// To be called before reports that were read or written are sent. Returns the number of withdrawn reports.
    pub fn settle(&mut self, duties: &mut Duties) -> usize {
        let open = self.open.iter();
        let others = open.filter(|(window, body)| !duties.record_report(**window, body));
        let others: Vec<u64> = others.map(|(window, _)| *window).collect();
        for window in &others {
            self.accept(*window);
        }
        if let Some(head) = self.head() {
            duties.set_reported(head);
        }
        others.len()
    }

    /// Records that a creation failed or that its outcome is unknown. The rows are read again before
    /// anything else is done, because the report may have been written.
    pub fn fail_creation(&mut self) {
        self.loaded = None;
    }

    /// Records that a call to the store got no valid answer.
    pub fn delay_store(&mut self, uptime: Duration) {
        self.store_after = uptime + STORE_PAUSE;
    }

    /// Records that the platform accepted the report of a window.
    pub fn accept(&mut self, window: u64) {
        if self.open.remove(&window).is_some() {
            self.done.push(window);
        }
    }

    /// Records that the platform has not confirmed a report. The same bytes are sent again.
    pub fn fail_send(&mut self, uptime: Duration, window: u64) {
        self.failed = window;
        self.send_after = uptime + RESEND_PAUSE;
    }

    fn limit_open(&mut self) {
        while self.open.len() > MAX_OPEN {
            let earliest = self.open.pop_first();
            self.done.extend(earliest.map(|(window, _)| window));
        }
    }
}
