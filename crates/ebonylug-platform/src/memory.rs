use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;

use crate::{
    Committed, Condition, Error, Expect, InstanceList, InstanceRow, ObjectHash, ObjectStore,
    Result, Row, Table, Transaction,
};

/// The fault that [`MemoryPlatform`] injects into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault. Placed before another fault, it delays that fault by one call.
    None,
    /// The call is rejected with [`Error::Unavailable`] and not applied.
    Unavailable,
    /// The call is applied and returns [`Error::Unknown`].
    DropResponse,
    /// The call is not applied and returns [`Error::Unknown`].
    DropRequest,
}

/// Numbers of calls to [`MemoryPlatform`], without those that failed through an injected fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Transactions and stored objects.
    pub writes: u64,
    /// Reads of rows, ranges, objects and the instance list.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Box<str>, Row>,
    version: u64,
    objects: HashMap<ObjectHash, Bytes>,
    instances: Vec<InstanceRow>,
    down: bool,
    faults: VecDeque<Fault>,
    call_counts: CallCounts,
}

/// An in-memory fake of all platform services, with fault injection.
///
/// Clones share their state.
///
/// ```
/// use ebonylug_platform::{Fault, MemoryPlatform};
///
/// let platform = MemoryPlatform::new();
/// platform.inject([Fault::DropResponse]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
}

impl MemoryPlatform {
    /// Creates an empty platform without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether all calls fail with [`Error::Unavailable`].
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Queues faults for the next calls, one for each call.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults.extend(faults);
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: Vec<InstanceRow>) {
        self.lock().instances = instances;
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn call_counts(&self) -> CallCounts {
        self.lock().call_counts
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("platform lock poisoned")
    }

    fn call<T>(&self, write: bool, apply: impl FnOnce(&mut State) -> Result<T>) -> Result<T> {
        let mut state = self.lock();
        if state.down {
            return Err(Error::Unavailable);
        }
        match state.faults.pop_front().unwrap_or(Fault::None) {
            Fault::Unavailable => return Err(Error::Unavailable),
            Fault::DropRequest => return Err(Error::Unknown),
            Fault::DropResponse => {
                // The call takes effect; its result is lost.
                let _ = apply(&mut state);
                return Err(Error::Unknown);
            }
            Fault::None => {}
        }
        if write {
            state.call_counts.writes += 1;
        } else {
            state.call_counts.reads += 1;
        }
        apply(&mut state)
    }
}

impl State {
    fn holds(&self, condition: &Condition) -> bool {
        let row = self.rows.get(&condition.key);
        match condition.expect {
            Expect::Absent => row.is_none(),
            Expect::Version(version) => row.is_some_and(|row| row.version == version),
        }
    }

    fn transact(&mut self, transaction: Transaction) -> Result<Committed> {
        let failed = transaction.conditions.iter().find(|c| !self.holds(c));
        if let Some(condition) = failed {
            return Err(Error::Conflict {
                key: condition.key.clone(),
            });
        }
        self.version += 1;
        let version = self.version;
        for write in transaction.writes {
            match write.value {
                Some(value) => {
                    let row = Row {
                        key: write.key.clone(),
                        version,
                        value,
                    };
                    self.rows.insert(write.key, row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        Ok(Committed { version })
    }
}

impl Table for MemoryPlatform {
    async fn transact(&self, transaction: Transaction) -> Result<Committed> {
        self.call(true, |state| state.transact(transaction))
    }

    async fn get(&self, key: &str) -> Result<Option<Row>> {
        self.call(false, |state| Ok(state.rows.get(key).cloned()))
    }

    async fn scan(&self, prefix: &str, limit: usize) -> Result<Vec<Row>> {
        self.call(false, |state| {
            let start = (Bound::Included(prefix), Bound::Unbounded);
            let range = state.rows.range::<str, _>(start);
            let matching = range.take_while(|(key, _)| key.starts_with(prefix));
            Ok(matching.take(limit).map(|(_, row)| row.clone()).collect())
        })
    }
}

impl ObjectStore for MemoryPlatform {
    async fn put(&self, body: Bytes) -> Result<ObjectHash> {
        self.call(true, |state| {
            let hash = ObjectHash::of(&body);
            state.objects.insert(hash, body);
            Ok(hash)
        })
    }

    async fn fetch(&self, hash: ObjectHash) -> Result<Bytes> {
        self.call(false, |state| {
            state.objects.get(&hash).cloned().ok_or(Error::NotFound)
        })
    }
}

impl InstanceList for MemoryPlatform {
    async fn instances(&self) -> Result<Vec<InstanceRow>> {
        self.call(false, |state| Ok(state.instances.clone()))
    }
}
