use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::notes::{Ask, Change, End, Notes, Run, Trouble};

/// Time without disturbance after which an entry must keep to bounds of time, in milliseconds: the platform's
/// `contact`, as the settings of the entries state it.
const CONTACT: u64 = 3_000;
/// Time in which a configuration must be in force, and an engine that leaves be left alone.
const DRAIN: u64 = 2_000;
/// Time after which a key that was taken away must not be accepted.
const REVOKED: u64 = 5_000;
/// Time after which a zone that is taken out must get nothing.
const ZONE: u64 = 5_000;
/// The window of quotas.
const WINDOW: u64 = 8_000;
/// What a quota may be exceeded by: a tenth, and requests on their way.
const OVERSHOOT: f64 = 1.1;
/// Tokens beyond that.
const SLACK: f64 = 100.0;

/// Tokens that each request counts.
pub(crate) const TOKENS: u32 = 10;
/// Tokens per second, and at once, of the organisation with a quota.
pub(crate) const QUOTA: f64 = 100.0;
/// Keys from this number on belong to the organisation with a quota.
pub(crate) const LIMITED_KEY: usize = 8;

/// What the pages promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A request that must not be repeated runs once at most.
    Once,
    /// A refused request does not run.
    Refused,
    /// A caller gets the whole answer of the engine to this request, and no piece of a stream is missing or twice.
    Whole,
    /// Engines get what callers sent.
    Unchanged,
    /// A configuration is in force in time, and never falls back in one life of an entry.
    Config,
    /// A key that was taken away is not accepted.
    Revoked,
    /// An engine that leaves, or whose zone is taken out, gets nothing.
    Drained,
    /// Quotas hold over all entries.
    Quota,
    /// An answer comes by the time limit.
    Answered,
    /// No request is cut by a planned stop, or without any fault.
    Kept,
    /// Processes end only as planned, and then in time.
    Ends,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// Which.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

/// Judges what was seen.
///
/// Promises with a bound of time are judged only where the entry was not disturbed for [`CONTACT`] before.
#[derive(Debug)]
pub struct Ledger<'a> {
    notes: &'a Notes,
    asks: HashMap<u64, &'a Ask>,
    runs: HashMap<u64, Vec<&'a Run>>,
}

/// Breaches, and how often each promise was checked.
type Judged = (Vec<Breach>, BTreeMap<Promise, u64>);

/// Collects breaches.
#[derive(Debug, Default)]
struct Judge {
    breaches: Vec<Breach>,
    checked: BTreeMap<Promise, u64>,
}

impl Judge {
    fn check(&mut self, promise: Promise, kept: bool, seen: impl FnOnce() -> String) {
        *self.checked.entry(promise).or_default() += 1;
        if !kept {
            let seen = seen();
            self.breaches.push(Breach { promise, seen });
        }
    }
}

impl<'a> Ledger<'a> {
    /// Sorts notes by request.
    #[must_use]
    pub fn new(notes: &'a Notes) -> Self {
        let mut runs: HashMap<u64, Vec<&Run>> = HashMap::new();
        for run in &notes.runs {
            runs.entry(run.id).or_default().push(run);
        }
        Ledger {
            notes,
            asks: notes.asks.iter().map(|ask| (ask.id, ask)).collect(),
            runs,
        }
    }

    /// Returns the breaches, and how often each promise was checked.
    #[must_use]
    pub fn judge(&self) -> Judged {
        let mut judge = Judge::default();
        for ask in &self.notes.asks {
            self.judge_ask(&mut judge, ask);
        }
        for run in &self.notes.runs {
            self.judge_run(&mut judge, run);
        }
        self.judge_versions(&mut judge);
        self.judge_changes(&mut judge);
        self.judge_quota(&mut judge);
        for (at, end) in &self.notes.ends {
            judge.check(Promise::Ends, false, || {
                format!("at {}: {end}", self.since(*at))
            });
        }
        (judge.breaches, judge.checked)
    }

    fn since(&self, at: u64) -> String {
        let millis = at.saturating_sub(self.notes.started);
        format!("{}.{:03} s", millis / 1_000, millis % 1_000)
    }

    fn shown(&self, ask: &Ask) -> String {
        format!(
            "request {:x} ({}) sent to entry {} (start {}) at {}, ended at {} with {:?}",
            ask.id,
            ask.sort.as_str(),
            ask.entry.0,
            ask.entry.1,
            self.since(ask.sent),
            self.since(ask.ended),
            ask.end
        )
    }

    /// Reports whether nothing of a kind was harmed in a time.
    fn calm(&self, from: u64, to: u64, harms: impl Fn(Trouble) -> bool) -> bool {
        let spans = self.notes.troubles.iter();
        !spans
            .filter(|span| harms(span.what))
            .any(|span| span.from <= to && span.to >= from)
    }

    /// Reports whether an entry was in touch with the store for long enough before a time, until another.
    fn in_touch(&self, entry: usize, from: u64, to: u64) -> bool {
        let own = |what| what == Trouble::Entry(entry) || what == Trouble::Store(entry);
        self.calm(from.saturating_sub(CONTACT), to, own)
    }

    fn runs_of(&self, id: u64) -> &[&Run] {
        self.runs.get(&id).map_or(&[], Vec::as_slice)
    }

    fn judge_ask(&self, judge: &mut Judge, ask: &Ask) {
        let runs = self.runs_of(ask.id).len();
        if !ask.sort.is_idempotent() {
            judge.check(Promise::Once, runs <= 1, || {
                format!("{} ran {runs} times", self.shown(ask))
            });
        }
        match &ask.end {
            End::Served { wrong } | End::Cut { wrong } => {
                judge.check(Promise::Whole, wrong.is_none(), || self.shown(ask));
            }
            End::Status {
                code: 408 | 421 | 429 | 503,
                signed: false,
            } => {
                let kept = runs == 0 || ask.sort.is_idempotent();
                judge.check(Promise::Refused, kept, || {
                    format!("{} ran", self.shown(ask))
                });
            }
            End::Status { .. } | End::Left | End::Unsent | End::Refused | End::Hung => {}
        }
        let entry = ask.entry.0;
        let alive = self.calm(ask.sent.saturating_sub(1_000), ask.ended, |what| {
            what == Trouble::Entry(entry)
        });
        if alive {
            judge.check(Promise::Answered, ask.end != End::Hung, || self.shown(ask));
            judge.check(Promise::Kept, ask.end != End::Refused, || self.shown(ask));
            let engines = self.calm(ask.sent.saturating_sub(CONTACT), ask.ended, |what| {
                what == Trouble::Engine
            });
            let cut = matches!(ask.end, End::Cut { .. }) && runs > 0;
            let broken = self.runs_of(ask.id).iter().any(|run| run.breaks);
            if engines && !broken {
                judge.check(Promise::Kept, !cut, || self.shown(ask));
            }
        }
    }

    fn judge_run(&self, judge: &mut Judge, run: &Run) {
        let known = self.asks.contains_key(&run.id);
        judge.check(Promise::Unchanged, known && run.wrong.is_none(), || {
            format!(
                "engine {} ran {:x}: {:?}, known: {known}",
                run.engine, run.id, run.wrong
            )
        });
    }

    /// A version whose effect a life of an entry has shown does not go.
    fn judge_versions(&self, judge: &mut Judge) {
        let mut lives: BTreeMap<(usize, u32), Vec<&Ask>> = BTreeMap::new();
        for ask in self.notes.asks.iter().filter(|ask| ask.route > 0) {
            lives.entry(ask.entry).or_default().push(ask);
        }
        for asks in lives.values() {
            let served = asks
                .iter()
                .filter(|ask| matches!(ask.end, End::Served { .. }));
            let served: Vec<(u64, u64)> = served.map(|ask| (ask.ended, ask.route)).collect();
            let missing = |ask: &&&Ask| {
                matches!(
                    ask.end,
                    End::Status {
                        code: 404,
                        signed: false
                    }
                )
            };
            for ask in asks.iter().filter(missing) {
                let fell = served
                    .iter()
                    .any(|&(ended, route)| ended < ask.sent && route >= ask.route);
                judge.check(Promise::Config, !fell, || {
                    format!("{} after a newer version was served", self.shown(ask))
                });
            }
        }
    }

    fn judge_changes(&self, judge: &mut Judge) {
        for (at, change) in &self.notes.changes {
            match change {
                Change::Config { version } => self.judge_config(judge, *at, *version),
                Change::Revoked { key } => self.judge_revoked(judge, *at, *key),
                Change::Leaves { engine } => {
                    self.judge_drained(judge, engine, *at + DRAIN, u64::MAX);
                }
                Change::Drained { engines } => {
                    let back = self.notes.changes.iter();
                    let back =
                        back.filter(|(time, change)| time > at && *change == Change::Restored);
                    let until = back.map(|(time, _)| *time).next().unwrap_or(u64::MAX);
                    for engine in engines {
                        self.judge_drained(judge, engine, *at + ZONE, until);
                    }
                }
                Change::Restored => {}
            }
        }
    }

    fn judge_config(&self, judge: &mut Judge, at: u64, version: u64) {
        let late = |ask: &&Ask| ask.route == version && ask.sent > at + DRAIN;
        for ask in self.notes.asks.iter().filter(late) {
            if self.in_touch(ask.entry.0, ask.sent, ask.ended) {
                let missing = matches!(
                    ask.end,
                    End::Status {
                        code: 404,
                        signed: false
                    }
                );
                judge.check(Promise::Config, !missing, || {
                    format!("{}, acknowledged at {}", self.shown(ask), self.since(at))
                });
            }
        }
    }

    fn judge_revoked(&self, judge: &mut Judge, at: u64, key: usize) {
        let late = |ask: &&Ask| ask.key == key && ask.sent > at + REVOKED;
        for ask in self.notes.asks.iter().filter(late) {
            let ran = !self.runs_of(ask.id).is_empty();
            judge.check(Promise::Revoked, !ran, || {
                format!(
                    "{} ran, its key was taken away at {}",
                    self.shown(ask),
                    self.since(at)
                )
            });
        }
    }

    fn judge_drained(&self, judge: &mut Judge, engine: &str, from: u64, to: u64) {
        for run in self.notes.runs.iter().filter(|run| run.engine == engine) {
            let Some(ask) = self.asks.get(&run.id) else {
                continue;
            };
            let late = run.at > from && run.at < to;
            if late && self.in_touch(ask.entry.0, from.max(ask.sent), run.at) {
                judge.check(Promise::Drained, false, || {
                    format!(
                        "{} reached {engine} at {}",
                        self.shown(ask),
                        self.since(run.at)
                    )
                });
            }
        }
        // Counted once for each engine, since a kept promise shows as no run.
        judge.check(Promise::Drained, true, String::new);
    }

    fn judge_quota(&self, judge: &mut Judge) {
        let limited = |run: &&Run| {
            let ask = self.asks.get(&run.id);
            ask.is_some_and(|ask| ask.key >= LIMITED_KEY)
        };
        let mut times: Vec<u64> = self
            .notes
            .runs
            .iter()
            .filter(limited)
            .map(|run| run.at)
            .collect();
        times.sort_unstable();
        let most = (QUOTA * (WINDOW / 1_000) as f64 + QUOTA) * OVERSHOOT + SLACK;
        for (first, &from) in times.iter().enumerate() {
            let count = times[first..].partition_point(|&at| at < from + WINDOW);
            let tokens = count as f64 * f64::from(TOKENS);
            judge.check(Promise::Quota, tokens <= most, || {
                format!("{tokens} of {most} tokens in 8 s from {}", self.since(from))
            });
        }
    }
}
