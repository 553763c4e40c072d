//! Sidecars with a ledger of attempts, a transport that loses calls, and a count of runs.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use ebonylug_core::{AttemptId, Clock, Incarnation, Name, Reason, Revoked};
use ebonylug_idempotency::{Destination, JoinOutcome, Response, SendOutcome, Transport};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The clock of the paused runtime.
pub struct RuntimeClock;

impl Clock for RuntimeClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

#[derive(Clone)]
enum Entry {
    Running,
    Finished(Response),
    Tombstone,
}

#[derive(Default)]
struct Sidecar {
    incarnation: u64,
    ledger: HashMap<AttemptId, Entry>,
}

/// One run of a call at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    pub key: String,
    pub content: u8,
    pub attempt: AttemptId,
}

#[derive(Default)]
struct State {
    sidecars: [Sidecar; 2],
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct World {
    state: Arc<Mutex<State>>,
    rng: Arc<Mutex<ChaCha8Rng>>,
    /// Faults in 1,000 calls of the transport.
    faults: Arc<Mutex<u64>>,
}

impl World {
    pub fn new(seed: u64, faults: u64) -> Self {
        World {
            state: Arc::default(),
            rng: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))),
            faults: Arc::new(Mutex::new(faults)),
        }
    }

    pub fn set_faults(&self, faults: u64) {
        *self.faults.lock().unwrap() = faults;
    }

    pub fn draw(&self, below: u64) -> u64 {
        self.rng.lock().unwrap().random_range(0..below)
    }

    pub async fn pause(&self, millis: u64) {
        tokio::time::sleep(Duration::from_millis(self.draw(millis))).await;
    }

    pub fn runs(&self, key: &str) -> Vec<Run> {
        let state = self.state.lock().unwrap();
        state
            .runs
            .iter()
            .filter(|run| run.key == key)
            .cloned()
            .collect()
    }

    /// Replaces a sidecar by a new process, which knows nothing of earlier attempts.
    pub fn restart(&self, index: usize) {
        let mut state = self.state.lock().unwrap();
        let incarnation = state.sidecars[index].incarnation + 1;
        state.sidecars[index] = Sidecar {
            incarnation,
            ledger: HashMap::new(),
        };
    }

    pub fn destination(&self, index: usize) -> Destination {
        let state = self.state.lock().unwrap();
        let incarnation = Incarnation(state.sidecars[index].incarnation);
        Destination {
            target: Name::new(&index.to_string()),
            incarnation,
        }
    }

    fn fails(&self) -> bool {
        let faults = *self.faults.lock().unwrap();
        self.draw(1_000) < faults
    }

    /// Runs a closure with the sidecar of a place; `None` if it has restarted since.
    fn with<T>(
        &self,
        destination: &Destination,
        f: impl FnOnce(&mut Sidecar, &mut Vec<Run>) -> T,
    ) -> Option<T> {
        let mut state = self.state.lock().unwrap();
        let State { sidecars, runs } = &mut *state;
        let sidecar = &mut sidecars[destination.target.as_str().parse::<usize>().unwrap()];
        (sidecar.incarnation == destination.incarnation.0).then(|| f(sidecar, runs))
    }

    /// An attempt arrives at its sidecar.
    fn arrive(&self, run: Run, destination: &Destination) -> Result<(), Reason> {
        let full = self.fails();
        let admitted = self.with(destination, |sidecar, runs| {
            match sidecar.ledger.get(&run.attempt) {
                Some(Entry::Tombstone) => Err(Reason::Revoked),
                Some(_) => Ok(()),
                None if full => Err(Reason::Full),
                None => {
                    sidecar.ledger.insert(run.attempt, Entry::Running);
                    runs.push(run.clone());
                    let (world, destination) = (self.clone(), destination.clone());
                    tokio::spawn(async move { world.execute(run, destination).await });
                    Ok(())
                }
            }
        });
        admitted.unwrap_or(Err(Reason::Incarnation))
    }

    async fn execute(&self, run: Run, destination: Destination) {
        self.pause(200).await;
        let body = format!("{} {}", run.key, run.attempt);
        let answer = Response {
            status: 201,
            headers: vec![("content-type".into(), "text/plain".into())],
            body: body.into(),
        };
        self.with(&destination, |sidecar, _| {
            sidecar.ledger.insert(run.attempt, Entry::Finished(answer))
        });
    }

    /// Waits for the end of an attempt.
    async fn answer(&self, attempt: AttemptId, destination: &Destination) -> JoinOutcome {
        loop {
            let entry = self.with(destination, |sidecar, _| {
                sidecar.ledger.get(&attempt).cloned()
            });
            match entry {
                None => return JoinOutcome::Unknown,
                Some(None | Some(Entry::Tombstone)) => return JoinOutcome::NotSeen,
                Some(Some(Entry::Finished(answer))) => return JoinOutcome::Completed(answer),
                Some(Some(Entry::Running)) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }
}

/// The transport of one caller's request.
pub struct Caller {
    pub world: World,
    pub key: String,
    pub content: u8,
    pub deadline: Instant,
    /// The attempts that were sent.
    pub sent: Arc<Mutex<HashSet<AttemptId>>>,
}

impl Transport for Caller {
    async fn select_target(&self) -> Result<Destination, Reason> {
        self.world.pause(20).await;
        if RuntimeClock.now() >= self.deadline || self.world.fails() {
            return Err(Reason::Shed);
        }
        Ok(self.world.destination(self.world.draw(2) as usize))
    }

    async fn send(&self, attempt: AttemptId, destination: &Destination) -> SendOutcome {
        self.sent.lock().unwrap().insert(attempt);
        self.world.pause(10).await;
        let run = Run {
            key: self.key.clone(),
            content: self.content,
            attempt,
        };
        if self.world.fails() {
            match self.world.draw(3) {
                // The entry is paused between the reservation and the sending.
                0 => self.world.pause(3_000).await,
                1 => return SendOutcome::Unknown,
                // The call is on its way for longer than the entry waits.
                _ => {
                    let (world, destination) = (self.world.clone(), destination.clone());
                    tokio::spawn(async move {
                        world.pause(3_000).await;
                        let _ = world.arrive(run, &destination);
                    });
                    return SendOutcome::Unknown;
                }
            }
        }
        if let Err(reason) = self.world.arrive(run, destination) {
            return SendOutcome::Refused(reason);
        }
        if self.world.fails() {
            return SendOutcome::Unknown;
        }
        match self.world.answer(attempt, destination).await {
            JoinOutcome::Completed(answer) => SendOutcome::Completed(answer),
            _ => SendOutcome::Unknown,
        }
    }

    async fn join(&self, attempt: AttemptId, destination: &Destination) -> JoinOutcome {
        self.world.pause(10).await;
        if self.world.fails() {
            return JoinOutcome::Unreachable;
        }
        self.world.answer(attempt, destination).await
    }

    async fn revoke(&self, attempt: AttemptId, destination: &Destination) -> Option<Revoked> {
        self.world.pause(10).await;
        let lost = self.world.fails();
        let revoked = self.world.with(destination, |sidecar, _| {
            match sidecar.ledger.get(&attempt) {
                None | Some(Entry::Tombstone) => {
                    sidecar.ledger.insert(attempt, Entry::Tombstone);
                    Revoked::NotRun
                }
                Some(Entry::Running) => Revoked::Running,
                Some(Entry::Finished(_)) => Revoked::Finished,
            }
        });
        (!lost).then_some(revoked.unwrap_or(Revoked::Unknown))
    }

    async fn wait(&self, length: Duration) {
        tokio::time::sleep(length).await;
    }
}
