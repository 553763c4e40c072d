//! A simulation of two sidecars that record attempts, with a transport that loses calls and a
//! list of all runs.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use ebonylug_core::{AttemptId, Clock, Incarnation, Name, Reason, RevokeOutcome};
use ebonylug_idempotency::{Destination, JoinOutcome, Response, SendOutcome, Transport};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The clock of a Tokio runtime whose time is paused.
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
enum Attempt {
    Running,
    Finished(Response),
    Tombstone,
}

#[derive(Default)]
struct Sidecar {
    incarnation: u64,
    attempts: HashMap<AttemptId, Attempt>,
}

/// One execution of a call at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    pub key: String,
    pub content: u8,
    pub attempt: AttemptId,
}

#[derive(Default)]
struct SimulationState {
    sidecars: [Sidecar; 2],
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Simulation {
    state: Arc<Mutex<SimulationState>>,
    rng: Arc<Mutex<ChaCha8Rng>>,
    /// Number of faults per 1,000 calls of the transport.
    faults: Arc<Mutex<u64>>,
}

impl Simulation {
    pub fn new(seed: u64, faults: u64) -> Self {
        Simulation {
            state: Arc::default(),
            rng: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))),
            faults: Arc::new(Mutex::new(faults)),
        }
    }

    pub fn set_faults(&self, faults: u64) {
        *self.faults.lock().unwrap() = faults;
    }

    pub fn draw(&self, bound: u64) -> u64 {
        self.rng.lock().unwrap().random_range(0..bound)
    }

    pub async fn random_delay(&self, max_ms: u64) {
        tokio::time::sleep(Duration::from_millis(self.draw(max_ms))).await;
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

    /// Replaces a sidecar by a new process, which has no records of earlier attempts.
    pub fn restart(&self, index: usize) {
        let mut state = self.state.lock().unwrap();
        let incarnation = state.sidecars[index].incarnation + 1;
        state.sidecars[index] = Sidecar {
            incarnation,
            attempts: HashMap::new(),
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

    fn draw_fault(&self) -> bool {
        let faults = *self.faults.lock().unwrap();
        self.draw(1_000) < faults
    }

    /// Runs a closure with the sidecar of a destination; `None` if it has restarted since.
    fn with_sidecar<T>(
        &self,
        destination: &Destination,
        apply: impl FnOnce(&mut Sidecar, &mut Vec<Run>) -> T,
    ) -> Option<T> {
        let mut state = self.state.lock().unwrap();
        let SimulationState { sidecars, runs } = &mut *state;
        let sidecar = &mut sidecars[destination.target.as_str().parse::<usize>().unwrap()];
        (sidecar.incarnation == destination.incarnation.0).then(|| apply(sidecar, runs))
    }

    /// Delivers an attempt to its sidecar, which starts it or refuses it.
    fn deliver(&self, run: Run, destination: &Destination) -> Result<(), Reason> {
        let full = self.draw_fault();
        let admitted = self.with_sidecar(destination, |sidecar, runs| {
            match sidecar.attempts.get(&run.attempt) {
                Some(Attempt::Tombstone) => Err(Reason::Revoked),
                Some(_) => Ok(()),
                None if full => Err(Reason::Full),
                None => {
                    sidecar.attempts.insert(run.attempt, Attempt::Running);
                    runs.push(run.clone());
                    let (simulation, destination) = (self.clone(), destination.clone());
                    tokio::spawn(async move { simulation.execute(run, destination).await });
                    Ok(())
                }
            }
        });
        admitted.unwrap_or(Err(Reason::Incarnation))
    }

    async fn execute(&self, run: Run, destination: Destination) {
        self.random_delay(200).await;
        let body = format!("{} {}", run.key, run.attempt);
        let response = Response {
            status: 201,
            headers: vec![("content-type".into(), "text/plain".into())],
            body: body.into(),
        };
        self.with_sidecar(&destination, |sidecar, _| {
            sidecar
                .attempts
                .insert(run.attempt, Attempt::Finished(response))
        });
    }

    /// Waits until an attempt has ended.
    async fn await_response(&self, attempt: AttemptId, destination: &Destination) -> JoinOutcome {
        loop {
            let found = self.with_sidecar(destination, |sidecar, _| {
                sidecar.attempts.get(&attempt).cloned()
            });
            match found {
                None => return JoinOutcome::Unknown,
                Some(None | Some(Attempt::Tombstone)) => return JoinOutcome::NotSeen,
                Some(Some(Attempt::Finished(response))) => {
                    return JoinOutcome::Completed(response);
                }
                Some(Some(Attempt::Running)) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }
}

/// The transport of one caller's request.
pub struct Caller {
    pub simulation: Simulation,
    pub key: String,
    pub content: u8,
    pub deadline: Instant,
    /// The attempts that were sent.
    pub sent: Arc<Mutex<HashSet<AttemptId>>>,
}

impl Transport for Caller {
    async fn select_target(&self) -> Result<Destination, Reason> {
        self.simulation.random_delay(20).await;
        if RuntimeClock.now() >= self.deadline || self.simulation.draw_fault() {
            return Err(Reason::Shed);
        }
        Ok(self
            .simulation
            .destination(self.simulation.draw(2) as usize))
    }

    async fn send(&self, attempt: AttemptId, destination: &Destination) -> SendOutcome {
        self.sent.lock().unwrap().insert(attempt);
        self.simulation.random_delay(10).await;
        let run = Run {
            key: self.key.clone(),
            content: self.content,
            attempt,
        };
        if self.simulation.draw_fault() {
            match self.simulation.draw(3) {
                // The entry is paused between the reservation and the sending.
                0 => self.simulation.random_delay(3_000).await,
                1 => return SendOutcome::Unknown,
                // The call is delayed for longer than the entry waits.
                _ => {
                    let (simulation, destination) = (self.simulation.clone(), destination.clone());
                    tokio::spawn(async move {
                        simulation.random_delay(3_000).await;
                        let _ = simulation.deliver(run, &destination);
                    });
                    return SendOutcome::Unknown;
                }
            }
        }
        if let Err(reason) = self.simulation.deliver(run, destination) {
            return SendOutcome::Refused(reason);
        }
        if self.simulation.draw_fault() {
            return SendOutcome::Unknown;
        }
        match self.simulation.await_response(attempt, destination).await {
            JoinOutcome::Completed(response) => SendOutcome::Completed(response),
            _ => SendOutcome::Unknown,
        }
    }

    async fn join(&self, attempt: AttemptId, destination: &Destination) -> JoinOutcome {
        self.simulation.random_delay(10).await;
        if self.simulation.draw_fault() {
            return JoinOutcome::Unreachable;
        }
        self.simulation.await_response(attempt, destination).await
    }

    async fn revoke(&self, attempt: AttemptId, destination: &Destination) -> Option<RevokeOutcome> {
        self.simulation.random_delay(10).await;
        let lost = self.simulation.draw_fault();
        let revoked = self.simulation.with_sidecar(destination, |sidecar, _| {
            match sidecar.attempts.get(&attempt) {
                None | Some(Attempt::Tombstone) => {
                    sidecar.attempts.insert(attempt, Attempt::Tombstone);
                    RevokeOutcome::NotRun
                }
                Some(Attempt::Running) => RevokeOutcome::Running,
                Some(Attempt::Finished(_)) => RevokeOutcome::Finished,
            }
        });
        (!lost).then_some(revoked.unwrap_or(RevokeOutcome::Unknown))
    }

    async fn wait(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}
