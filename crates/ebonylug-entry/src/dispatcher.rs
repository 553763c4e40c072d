use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, mpsc};

use ebonylug_core::{
    AttemptId, Clock, LoadReport, Name, Offer, Outcome, Reason, Refusal, Tier, Tokens,
};
use ebonylug_events::{EventKind, Subject};
use ebonylug_net::record::Recorder;
use ebonylug_net::tasks::Tasks;
use ebonylug_routing::{Action, Disposition, Request, RequestKey, Router, TargetKey};

use crate::at_most_once::{Decision, Placement};
use crate::attempt::{Call, SidecarClient};
use crate::instruments::Instruments;
use crate::moves::{Moves, Observation, is_base};
use crate::sink::{ResponsePart, Sink};
use crate::view::CurrentConfig;

/// The longest interval between two polls of the router.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A caller's request that has not ended.
#[derive(Debug)]
pub struct Job {
    /// The tier under which the request is counted.
    pub tier: Tier,
    /// The call to forward to the target.
    pub call: Arc<Call>,
    /// Where the response is sent.
    pub sink: Sink,
    /// Whether the response is forwarded as it arrives.
    pub streamed: bool,
}

/// Executes the decisions of the router on sidecars and callers.
///
/// Handlers enqueue jobs; one task polls the router and starts a task for each attempt.
pub struct Dispatcher {
    clock: Arc<dyn Clock>,
    current: Arc<CurrentConfig>,
    moves: Arc<Moves>,
    recorder: Arc<Recorder>,
    instruments: Arc<Instruments>,
    state: Mutex<State>,
    wake: Notify,
    tasks: Tasks,
}

struct State {
    router: Router,
    /// Waiting jobs. While an attempt is in flight, its task owns the job.
    jobs: HashMap<RequestKey, Job>,
    /// Calls that must not be repeated. Their tasks receive the decisions of the router.
    at_most_once_calls: HashMap<RequestKey, mpsc::Sender<Decision>>,
    sidecars: HashMap<TargetKey, Arc<SidecarClient>>,
}

/// An attempt that is ready to be sent.
struct Attempt {
    key: RequestKey,
    offer: Offer,
    sidecar: Arc<SidecarClient>,
    route: Name,
    version: Name,
    target: Name,
    cold: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without targets. The caller must spawn `run` on the current runtime.
    pub fn new(
        router: Router,
        clock: Arc<dyn Clock>,
        current: Arc<CurrentConfig>,
        moves: Arc<Moves>,
        recorder: Arc<Recorder>,
        instruments: Arc<Instruments>,
        tasks: Tasks,
    ) -> Self {
        Dispatcher {
            clock,
            current,
            moves,
            recorder,
            instruments,
            state: Mutex::new(State {
                router,
                jobs: HashMap::new(),
                at_most_once_calls: HashMap::new(),
                sidecars: HashMap::new(),
            }),
            wake: Notify::new(),
            tasks,
        }
    }

    /// Queues a request that may be repeated.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the router does not accept the request.
    pub fn enqueue(&self, request: Request, job: Job) -> Result<RequestKey, Refusal> {
        let now = self.clock.now();
        let subject = Subject::new().request(request.id);
        let mut state = self.lock();
        let key = state.router.enqueue(now, request)?;
        state.jobs.insert(key, job);
        drop(state);
        self.recorder.record(EventKind::RequestQueued, subject);
        self.wake.notify_one();
        Ok(key)
    }

    /// Queues a call that must not be repeated, and returns a channel of decisions about it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the router does not accept the call.
    pub fn enqueue_at_most_once(
        &self,
        request: Request,
    ) -> Result<mpsc::Receiver<Decision>, Refusal> {
        let now = self.clock.now();
        let subject = Subject::new().request(request.id);
        let (sender, decisions) = mpsc::channel(1);
        let mut state = self.lock();
        let key = state.router.enqueue(now, request)?;
        state.at_most_once_calls.insert(key, sender);
        drop(state);
        self.recorder.record(EventKind::RequestQueued, subject);
        self.wake.notify_one();
        Ok(decisions)
    }

    /// Reports the outcome of an attempt of a call that must not be repeated.
    pub fn report_outcome(&self, attempt: AttemptId, outcome: Outcome) {
        let now = self.clock.now();
        let subject = Subject::new().attempt(attempt);
        self.recorder.record(outcome_event(&outcome), subject);
        let mut state = self.lock();
        let key = state.router.find(attempt.request);
        let disposition = state.router.apply_outcome(now, attempt, outcome);
        if let (Some(key), Disposition::Ended) = (key, disposition) {
            state.at_most_once_calls.remove(&key);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Cancels a waiting request whose caller disconnected. An attempt in flight detects the
    /// disconnection through its sink.
    pub fn cancel(&self, key: RequestKey) {
        let mut state = self.lock();
        if state.jobs.remove(&key).is_some() {
            state.router.cancel(key);
        }
    }

    /// Applies a load report of a sidecar.
    pub fn apply_report(&self, target: TargetKey, report: &LoadReport) {
        let now = self.clock.now();
        self.lock().router.apply_report(now, target, report);
        self.wake.notify_one();
    }

    /// Adds the client for a target's sidecar.
    pub fn add_sidecar(&self, target: TargetKey, sidecar: Arc<SidecarClient>) {
        self.lock().sidecars.insert(target, sidecar);
    }

    /// Removes the client for a target's sidecar.
    pub fn remove_sidecar(&self, target: TargetKey) {
        self.lock().sidecars.remove(&target);
    }

    /// Applies `change` to the router and wakes the polling task.
    pub fn update_router<T>(&self, change: impl FnOnce(&mut Router) -> T) -> T {
        let result = change(&mut self.lock().router);
        self.wake.notify_one();
        result
    }

    /// Polls the router until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let delay = self.poll_router();
            let _ = tokio::time::timeout(delay, self.wake.notified()).await;
        }
    }

    /// Executes the pending actions of the router, and returns the time until the next poll.
    fn poll_router(self: &Arc<Self>) -> Duration {
        let now = self.clock.now();
        let mut state = self.lock();
        let actions = state.router.poll(now);
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => {
                    self.start_attempt(
                        &mut state,
                        now,
                        dispatch.request,
                        dispatch.target,
                        dispatch.offer,
                    );
                }
                Action::Shed {
                    request,
                    id,
                    refusal,
                } => {
                    let kind = EventKind::Shed {
                        reason: refusal.reason,
                    };
                    self.recorder.record(kind, Subject::new().request(id));
                    self.end_request(&mut state, request, ResponsePart::Refused(refusal));
                }
                Action::Abort { request, .. } => {
                    self.end_request(&mut state, request, ResponsePart::Failed);
                }
            }
        }
        let wake = state.router.next_wake(now);
        wake.map_or(MAX_POLL_INTERVAL, |at| {
            at.saturating_duration_since(now).min(MAX_POLL_INTERVAL)
        })
    }

    fn start_attempt(
        self: &Arc<Self>,
        state: &mut State,
        now: Instant,
        key: RequestKey,
        target: TargetKey,
        offer: Offer,
    ) {
        let attempt = state.new_attempt(key, target, &offer);
        if let Some(attempt) = attempt.as_ref()
            && let Some(decisions) = state.at_most_once_calls.get(&key)
        {
            let subject = Subject::new()
                .attempt(offer.attempt)
                .target(attempt.target.clone());
            self.recorder.record(EventKind::Dispatched, subject);
            let decision = Decision::Place(Box::new(attempt.placement()));
            if decisions.try_send(decision).is_ok() {
                return;
            }
        }
        let job = state.jobs.remove(&key);
        let (Some(attempt), Some(job)) = (attempt, job) else {
            // The target was removed or the caller disconnected meanwhile, so nothing was sent.
            let refused = Outcome::Refused(Refusal::new(Reason::NoTarget), None);
            state.router.apply_outcome(now, offer.attempt, refused);
            return;
        };
        let dispatcher = Arc::clone(self);
        self.tasks.spawn(async move {
            dispatcher.run_attempt(attempt, job).await;
        });
    }

    async fn run_attempt(self: Arc<Self>, attempt: Attempt, mut job: Job) {
        job.sink.start_attempt(self.clock.now());
        let subject = Subject::new()
            .attempt(attempt.offer.attempt)
            .target(attempt.target.clone());
        let sent = self.recorder.record(EventKind::Dispatched, subject.clone());
        let outcome = attempt
            .sidecar
            .run(&attempt.offer, &job.call, sent, &mut job.sink)
            .await;
        self.recorder.observe(job.sink.stamp());
        self.recorder.record(outcome_event(&outcome), subject);
        let now = self.clock.now();
        self.record_observation(&attempt, &job.sink, &outcome, now);
        let preempted = matches!(outcome, Outcome::Preempted { .. });
        // Another attempt cannot continue a plain response that was partly forwarded.
        let outcome = if preempted && !job.sink.reset(job.streamed) {
            Outcome::Failed
        } else {
            outcome
        };
        let part = final_part(&outcome);
        let output = job
            .sink
            .output_tokens()
            .filter(|_| outcome == Outcome::Answered);
        let disposition = {
            let mut state = self.lock();
            if let Some(output) = output {
                state.record_output(attempt.key, output);
            }
            let disposition = state
                .router
                .apply_outcome(now, attempt.offer.attempt, outcome);
            if matches!(disposition, Disposition::Requeued | Disposition::Shed) {
                state.jobs.insert(attempt.key, job);
                self.wake.notify_one();
                return;
            }
            disposition
        };
        self.wake.notify_one();
        debug_assert_eq!(
            disposition,
            Disposition::Ended,
            "an attempt has exactly one outcome"
        );
        self.instruments.record_end(attempt.offer.tier, &part);
        job.sink.finish(part).await;
    }

    /// Records the result of an attempt as evidence about the version of its target.
    fn record_observation(&self, attempt: &Attempt, sink: &Sink, outcome: &Outcome, now: Instant) {
        let success = match outcome {
            Outcome::Answered => !sink.is_server_error(),
            // A disconnected caller is no evidence about the version.
            Outcome::Failed if sink.is_closed() => return,
            Outcome::Failed | Outcome::Unknown => false,
            Outcome::Refused(..) | Outcome::Preempted { .. } => return,
        };
        let view = self.current.view();
        let base = is_base(&view.document, &attempt.route, &attempt.version);
        if let Some(ttft) = sink.ttft() {
            self.instruments.record_ttft(attempt.offer.tier, ttft);
        }
        let observation = Observation {
            success,
            ttft: sink.ttft(),
            token_interval: sink.token_interval(now),
            cold: attempt.cold,
        };
        self.moves
            .record(&attempt.route, &attempt.version, base, observation);
    }

    fn end_request(&self, state: &mut State, key: RequestKey, part: ResponsePart) {
        if let (Some(decisions), ResponsePart::Refused(refusal)) =
            (state.at_most_once_calls.remove(&key), &part)
        {
            // The task has already received the previous decision, so the channel has capacity.
            let _ = decisions.try_send(Decision::Refused(*refusal));
            return;
        }
        let Some(mut job) = state.jobs.remove(&key) else {
            return;
        };
        self.instruments.record_end(job.tier, &part);
        self.tasks.spawn(async move { job.sink.finish(part).await });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("dispatcher lock poisoned")
    }
}

impl Attempt {
    fn placement(&self) -> Placement {
        Placement {
            attempt: self.offer.attempt,
            offer: self.offer.clone(),
            sidecar: Arc::clone(&self.sidecar),
            target: self.target.clone(),
        }
    }
}

impl State {
    /// Records the output length of a response, from which the work of later requests is estimated.
    fn record_output(&mut self, key: RequestKey, output: u64) {
        if let Some(request) = self.router.request(key) {
            let (organisation, route) = (request.organisation, request.route);
            self.router
                .record_output(organisation, route, Tokens(output));
        }
    }

    fn new_attempt(&self, key: RequestKey, target: TargetKey, offer: &Offer) -> Option<Attempt> {
        let route = self.router.request(key)?.route;
        let version = self.router.target(target)?.version;
        Some(Attempt {
            key,
            offer: offer.clone(),
            sidecar: Arc::clone(self.sidecars.get(&target)?),
            route: self.router.route_name(route).clone(),
            version: self.router.version_name(version).clone(),
            target: self.router.target(target)?.name.clone(),
            cold: self.router.is_cold(target),
        })
    }
}

fn outcome_event(outcome: &Outcome) -> EventKind {
    match outcome {
        Outcome::Refused(refusal, _) => EventKind::Refused {
            reason: refusal.reason,
        },
        Outcome::Answered => EventKind::Answered,
        Outcome::Preempted { received } => EventKind::Preempted {
            received: *received,
        },
        Outcome::Failed => EventKind::Failed,
        Outcome::Unknown => EventKind::Unknown,
    }
}

fn final_part(outcome: &Outcome) -> ResponsePart {
    match outcome {
        Outcome::Answered => ResponsePart::End,
        Outcome::Refused(refusal, _) => ResponsePart::Refused(*refusal),
        Outcome::Preempted { .. } | Outcome::Failed => ResponsePart::Failed,
        Outcome::Unknown => ResponsePart::Unknown,
    }
}
