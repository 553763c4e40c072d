//! A model of entries that follow a table of the store, without a network: entries are killed, suspended and cut
//! off at any step, and messages are lost, doubled and late. Once the troubles have ended, all entries must have
//! the rows of the store.
//!
//! Other seeds: `TABLE_SEEDS=10000 TABLE_FIRST=1000 cargo test --release -p ebonylug-dispatch --test tables`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ebonylug_core::Name;
use ebonylug_dispatch::{
    CachedTable, Gossip, Peers, Row, RowHash, RowSum, TableDigest, TableKind, TableStamp,
    TableState, TableUpdate,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Virtual time of one step.
const STEP: Duration = Duration::from_millis(50);
/// Steps between two messages of an entry to another one.
const MESSAGE_STEPS: u64 = 3;
/// Steps with troubles, 20 s.
const TROUBLE_STEPS: u64 = 400;
/// Steps until the restart of an entry that was killed, 0.5 s.
const RESTART_STEPS: u64 = 10;
/// Steps after the last trouble in which all entries must get all rows, 3 s. Engines must get no requests 2 s
/// after they have announced that they leave, on the strictest deployment, but then nothing may be disturbed in
/// the 3 s before.
const REPAIR_STEPS: u64 = 60;
/// Seeds of a run without the environment variable.
const SEEDS: u64 = 60;

/// The store's table, with all its changes.
#[derive(Default)]
struct Store {
    version: u64,
    rows: BTreeMap<u8, u64>,
    changes: Vec<(u64, Row)>,
}

fn row(key: u8, value: Option<u64>) -> Row {
    Row {
        key: format!("row-{key}").into(),
        value: value.map(|value| value.to_string().into_bytes()),
    }
}

impl Store {
    fn change(&mut self, rng: &mut ChaCha8Rng) {
        // Versions also grow by changes of other tables.
        self.version += rng.random_range(1..4);
        let key = rng.random_range(0..6);
        if self.rows.remove(&key).is_none() || rng.random_bool(0.5) {
            self.rows.insert(key, self.version);
        }
        let value = self.rows.get(&key).copied();
        self.changes.push((self.version, row(key, value)));
    }

    fn list(&self) -> TableUpdate {
        let rows = self.rows.iter();
        TableUpdate::Snapshot(rows.map(|(&key, &value)| row(key, Some(value))).collect())
    }

    fn changes(&self, after: u64) -> TableUpdate {
        let changes = self.changes.iter();
        let changes = changes.filter(|(version, _)| *version > after);
        TableUpdate::Delta(changes.map(|(_, row)| row.clone()).collect())
    }

    fn digest(&self) -> TableDigest {
        digest(&self.list())
    }
}

/// Returns the digest of all rows of a table.
fn digest(rows: &TableUpdate) -> TableDigest {
    let mut sum = RowSum::default();
    for Row { key, value } in rows.rows() {
        sum.add(RowHash::new(key, value.as_deref().unwrap_or_default()));
    }
    sum.digest()
}

/// What an entry knows, which ends with its process.
#[derive(Default)]
struct Process {
    boot: u64,
    sequence: u64,
    table: CachedTable,
    peers: Peers,
}

struct Entry {
    name: Name,
    zone: Name,
    process: Process,
    /// The step until which the entry is restarting.
    down_until: u64,
    /// The step until which it is suspended.
    suspended_until: u64,
    /// The step until which it reaches nobody, and nobody reaches it.
    cut_until: u64,
    /// Messages that have arrived, with the step from which they can be read.
    inbox: Vec<(u64, Gossip)>,
}

impl Entry {
    fn runs(&self, step: u64) -> bool {
        step >= self.down_until && step >= self.suspended_until
    }

    fn has_table(&self) -> bool {
        self.process.table.version() > 0
    }

    fn is_reader(&self, now: Instant) -> bool {
        let peers = &self.process.peers;
        peers.is_reader(now, &self.name, &self.zone, false)
    }

    fn next_message(&mut self) -> Gossip {
        self.process.sequence += 1;
        Gossip {
            entry: self.name.as_str().into(),
            zone: self.zone.as_str().into(),
            boot: self.process.boot,
            sequence: self.process.sequence,
            interval: u32::try_from((STEP * 3).as_millis()).expect("a short interval"),
            tables: TableState {
                targets: self.process.table.stamp(),
                ..TableState::default()
            },
            ..Gossip::default()
        }
    }

    fn kill(&mut self, step: u64, boot: u64) {
        self.down_until = self.down_until.max(step + RESTART_STEPS);
        self.inbox.clear();
        self.process = Process {
            boot,
            ..Process::default()
        };
    }
}

struct Model {
    rng: ChaCha8Rng,
    start: Instant,
    step: u64,
    store: Store,
    entries: Vec<Entry>,
    /// The number of starts so far, which identifies each of them.
    boots: u64,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let zones = rng.random_range(1..=5);
        let entries = (0..rng.random_range(3..=30)).map(|number: u64| Entry {
            name: Name::new(&format!("entry-{number}")),
            zone: Name::new(&format!("zone-{}", number % zones)),
            process: Process {
                boot: number + 1,
                ..Process::default()
            },
            down_until: 0,
            suspended_until: 0,
            cut_until: 0,
            inbox: Vec::new(),
        });
        let entries: Vec<Entry> = entries.collect();
        let mut store = Store::default();
        store.change(&mut rng);
        Model {
            rng,
            start: Instant::now(),
            step: 0,
            store,
            boots: entries.len() as u64,
            entries,
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * u32::try_from(self.step).expect("few steps")
    }

    /// Disturbs some entries.
    fn trouble(&mut self) {
        let (step, now) = (self.step, self.now());
        let kind = self.rng.random_range(0..6);
        let share = [0.1, 0.5, 0.9][self.rng.random_range(0..3)];
        for entry in &mut self.entries {
            let hit = match kind {
                // The entries that read the store for their zones.
                0 | 1 => entry.is_reader(now),
                _ => self.rng.random_bool(share),
            };
            let until = step + self.rng.random_range(1..60);
            match kind {
                _ if !hit => {}
                0..=3 => {
                    self.boots += 1;
                    entry.kill(step, self.boots);
                }
                4 => entry.suspended_until = until,
                _ => entry.cut_until = until,
            }
        }
    }

    /// Sends the messages that are due.
    fn send(&mut self) {
        let step = self.step;
        for sender in 0..self.entries.len() {
            let entry = &self.entries[sender];
            let due = (step + sender as u64).is_multiple_of(MESSAGE_STEPS);
            if !due || !entry.runs(step) || step < entry.cut_until {
                continue;
            }
            let message = self.entries[sender].next_message();
            for receiver in 0..self.entries.len() {
                let entry = &mut self.entries[receiver];
                if receiver == sender || step < entry.down_until || step < entry.cut_until {
                    continue;
                }
                // Most messages arrive once; some are lost or doubled.
                let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..8)];
                for _ in 0..copies {
                    let arrival = step + self.rng.random_range(1..5);
                    entry.inbox.push((arrival, message.clone()));
                }
            }
        }
    }

    fn receive(&mut self) {
        let (step, now) = (self.step, self.now());
        for entry in self.entries.iter_mut().filter(|entry| entry.runs(step)) {
            let inbox = std::mem::take(&mut entry.inbox);
            for (arrival, message) in inbox {
                if arrival > step {
                    entry.inbox.push((arrival, message));
                } else {
                    let uptime = now - self.start;
                    entry.process.peers.receive(now, uptime, message);
                }
            }
        }
    }

    /// Lets each entry read the store, or fetch the rows of another entry.
    fn follow(&mut self) {
        let (step, now) = (self.step, self.now());
        for index in 0..self.entries.len() {
            let entry = &self.entries[index];
            if !entry.runs(step) || step < entry.cut_until || self.rng.random_bool(0.3) {
                continue;
            }
            let known = entry.process.table.version();
            let update = if !entry.has_table() {
                Some((self.store.list(), self.store.version))
            } else if entry.is_reader(now) {
                Some((self.store.changes(known), self.store.version))
            } else {
                self.fetch(entry, known)
            };
            if let Some((update, version)) = update {
                self.entries[index].process.table.apply(&update, version);
            }
        }
    }

    /// Returns the newer rows of another entry.
    fn fetch(&self, entry: &Entry, known: u64) -> Option<(TableUpdate, u64)> {
        let own = TableStamp {
            version: known,
            ..entry.process.table.stamp()
        };
        let peers = &entry.process.peers;
        let sources = peers.with_newer_table(self.now(), TableKind::Targets, own, &entry.zone);
        let reachable = |name: &Name| {
            let source = self.entries.iter().find(|other| other.name == *name)?;
            let answers = source.runs(self.step) && self.step >= source.cut_until;
            answers.then_some(&source.process.table)
        };
        let table = sources.iter().take(2).find_map(reachable)?;
        Some((table.newer(known)?, table.version()))
    }

    fn play(&mut self) -> Result<(), String> {
        let mut next_change = 0;
        while self.step < TROUBLE_STEPS {
            if self.rng.random_bool(0.03) {
                self.trouble();
                // Few changes, and most of them while entries restart: a later change repairs a lost one.
                next_change = self.step + self.rng.random_range(0..2 * RESTART_STEPS);
            }
            if self.step == next_change {
                self.store.change(&mut self.rng);
            }
            self.advance();
        }
        let disturbed = |entry: &Entry| {
            let ends = [entry.down_until, entry.suspended_until, entry.cut_until];
            ends.into_iter().max().unwrap_or_default()
        };
        let last = self.entries.iter().map(disturbed).max();
        let end = last.unwrap_or_default().max(self.step) + REPAIR_STEPS;
        while self.step < end {
            self.advance();
        }
        let expected = self.store.digest();
        let differs = |entry: &&Entry| {
            let rows = entry.process.table.newer(0);
            rows.is_none_or(|rows| digest(&rows) != expected)
        };
        let missing = self.entries.iter().filter(differs);
        let missing: Vec<&str> = missing.map(|entry| entry.name.as_str()).collect();
        if missing.is_empty() {
            return Ok(());
        }
        let count = self.entries.len();
        Err(format!(
            "{} of {count} entries have other rows",
            missing.len()
        ))
    }

    fn advance(&mut self) {
        self.send();
        self.receive();
        self.follow();
        self.step += 1;
    }
}

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against a change that some entries never get, whichever entries and messages were lost when it was
/// made.
#[test]
fn all_entries_get_all_rows_after_any_troubles() {
    let first = number("TABLE_FIRST", 1);
    let mut failures = Vec::new();
    for seed in first..first + number("TABLE_SEEDS", SEEDS) {
        if let Err(text) = Model::new(seed).play() {
            failures.push(format!("seed {seed}: {text}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a model that disturbs nothing: entries restart, and some take their rows from others.
#[test]
fn the_model_restarts_entries_and_moves_rows_between_them() {
    let (mut restarts, mut others) = (0, 0);
    for seed in 1..=5 {
        let mut model = Model::new(seed);
        let starts = model.boots;
        model.play().expect("all entries have all rows");
        restarts += model.boots - starts;
        let now = model.now();
        let entries = model.entries.iter();
        others += entries.filter(|entry| !entry.is_reader(now)).count();
    }
    assert!(restarts > 0 && others > 0, "{restarts} {others}");
}
