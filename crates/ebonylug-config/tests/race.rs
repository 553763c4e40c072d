//! Concurrent publishers under random faults, compared with a model of a linear history.

mod faulty;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonylug_config::{
    ApplyOutcome, ConfigState, FetchOutcome, Head, Publisher, Settings, Source, SourceId,
    StoreSource, fetch,
};
use ebonylug_core::{Incarnation, Name, Revision};
use ebonylug_platform::{MemoryPlatform, ObjectHash, Table};
use ebonylug_resource::{
    Change, Document, Precondition, Problem, Resource, TargetKind, VersionSpec,
};
use faulty::FaultyPlatform;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PUBLISHERS: u64 = 4;
const CHANGES: u64 = 12;
const OBSERVERS: usize = 3;

/// One call of `publish`. The marker is the artefact that the change sets.
struct Call {
    marker: String,
    resource: String,
    expected: Precondition,
    result: Result<Revision, Problem>,
}

/// The state of each observer.
type States = Arc<Vec<Mutex<ConfigState>>>;
/// The documents that each observer has activated, in order.
type Applications = Arc<Vec<Mutex<Vec<Document>>>>;

/// Another observer as a source. Its bodies may change between two calls.
struct Peer {
    states: States,
    index: usize,
}

impl Source for Peer {
    async fn head(&self) -> ebonylug_platform::Result<Option<Head>> {
        let state = self.states[self.index].lock().unwrap();
        Ok(state.snapshot().map(|snapshot| snapshot.head().clone()))
    }

    async fn body(&self, hash: ObjectHash) -> ebonylug_platform::Result<Bytes> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let state = self.states[self.index].lock().unwrap();
        let body = state
            .snapshot()
            .and_then(|snapshot| snapshot.body(&hash))
            .cloned();
        body.ok_or(ebonylug_platform::Error::NotFound)
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

async fn publish(store: FaultyPlatform, process: u64) -> Vec<Call> {
    let publisher = Publisher::new(store.clone(), Incarnation(process));
    let mut calls = Vec::new();
    let mut seen = Revision(0);
    for number in 0..CHANGES {
        let marker = format!("{process}-{number}");
        let resource = format!("v{}", store.draw(4));
        let spec = VersionSpec {
            kind: TargetKind::Model,
            serves: Name::new("quote"),
            artefact: (&*marker).into(),
        };
        let expected = match store.draw(3) {
            0 => Precondition::Revision(seen),
            1 => Precondition::Absent,
            _ => Precondition::Any,
        };
        let change = Change::put(Resource::new(&resource, spec)).with_precondition(expected);
        let result = publisher
            .publish(&change)
            .await
            .map(|snapshot| snapshot.revision());
        seen = result.clone().unwrap_or(seen);
        calls.push(Call {
            marker,
            resource,
            expected,
            result,
        });
        store.random_delay(10).await;
    }
    calls
}

async fn observe(
    store: FaultyPlatform,
    states: States,
    applications: Applications,
    index: usize,
    rounds: usize,
) {
    for _ in 0..rounds {
        let other = (index + 1 + store.draw(OBSERVERS as u64 - 1) as usize) % OBSERVERS;
        let revision = states[other].lock().unwrap().revision();
        let (source, known) = {
            let mut state = states[index].lock().unwrap();
            state.record_revision(&Name::new(&other.to_string()), revision);
            (state.tick(now()), state.snapshot().cloned())
        };
        if let Some(source) = source {
            let fetched = match &source {
                SourceId::Store => fetch(&StoreSource(store.clone()), known.as_ref()).await,
                SourceId::Peer(peer) => {
                    let index = peer.as_str().parse().unwrap();
                    let states = Arc::clone(&states);
                    fetch(&Peer { states, index }, known.as_ref()).await
                }
            };
            let mut state = states[index].lock().unwrap();
            if state.complete_fetch(now(), &source, FetchOutcome::from(fetched))
                == ApplyOutcome::Activated
            {
                let document = Document::clone(state.document().unwrap());
                applications[index].lock().unwrap().push(document);
            }
        }
        store.random_delay(20).await;
    }
}

/// Reads the accepted documents from the history rows.
async fn history(inner: &MemoryPlatform) -> Vec<Document> {
    let rows = inner.scan("config/history/", 1_000).await.unwrap();
    let mut documents = Vec::new();
    for row in rows {
        let head: Head = serde_json::from_str(&row.value).unwrap();
        let fixed = FixedHead(inner.clone(), head);
        documents.push(Document::clone(
            fetch(&fixed, None).await.unwrap().unwrap().document(),
        ));
    }
    documents
}

/// A source with a fixed head and the bodies of the platform.
struct FixedHead(MemoryPlatform, Head);

impl Source for FixedHead {
    async fn head(&self) -> ebonylug_platform::Result<Option<Head>> {
        Ok(Some(self.1.clone()))
    }

    async fn body(&self, hash: ObjectHash) -> ebonylug_platform::Result<Bytes> {
        StoreSource(self.0.clone()).body(hash).await
    }
}

fn check_history(documents: &[Document], calls: &[Call]) {
    let mut by_marker: HashMap<&str, &Call> = HashMap::new();
    for call in calls {
        by_marker.insert(&call.marker, call);
    }
    let mut accepted = HashMap::new();
    let mut model: BTreeMap<String, (String, Revision)> = BTreeMap::new();
    for (index, document) in documents.iter().enumerate() {
        let revision = Revision(index as u64 + 1);
        assert_eq!(
            document.revision(),
            revision,
            "revisions are not consecutive"
        );
        let current: BTreeMap<_, _> = document
            .all::<VersionSpec>()
            .iter()
            .map(|(name, v)| {
                (
                    name.to_string(),
                    (v.spec.artefact.to_string(), v.metadata.revision),
                )
            })
            .collect();
        let changed: Vec<_> = current
            .iter()
            .filter(|(name, v)| model.get(*name) != Some(v))
            .collect();
        let [(name, (marker, at))] = changed[..] else {
            panic!("revision {revision} makes {} changes", changed.len());
        };
        let call = by_marker[&**marker];
        assert_eq!((&call.resource, *at), (name, revision));
        match call.expected {
            Precondition::Any => {}
            Precondition::Absent => assert!(!model.contains_key(name), "lost update of {name}"),
            Precondition::Revision(expected) => assert_eq!(model[name].1, expected, "lost update"),
        }
        match &call.result {
            Ok(reported) => assert_eq!(*reported, revision),
            Err(problem) => assert_eq!(
                problem.status, 504,
                "reported as refused, but committed: {problem}"
            ),
        }
        assert_eq!(
            accepted.insert(marker.clone(), revision),
            None,
            "committed twice"
        );
        model.insert(name.clone(), (marker.clone(), revision));
        assert_eq!(current, model);
    }
    for call in calls {
        if let Ok(revision) = &call.result {
            assert_eq!(
                accepted.get(&call.marker),
                Some(revision),
                "reported as accepted, but not in the history"
            );
        }
    }
}

async fn run(seed: u64, faults: u32) -> (usize, [usize; 3]) {
    let inner = MemoryPlatform::new();
    let store = FaultyPlatform::new(inner.clone(), seed, faults);
    let state = |_| Mutex::new(ConfigState::new(Settings::default(), now()));
    let states: States = Arc::new((0..OBSERVERS).map(state).collect());
    let applications: Applications = Arc::new((0..OBSERVERS).map(|_| Mutex::default()).collect());
    let publishers: Vec<_> = (0..PUBLISHERS)
        .map(|process| tokio::spawn(publish(store.clone(), process)))
        .collect();
    let observer = |index, rounds| {
        let (states, applications) = (Arc::clone(&states), Arc::clone(&applications));
        tokio::spawn(observe(store.clone(), states, applications, index, rounds))
    };
    let observers: Vec<_> = (0..OBSERVERS).map(|index| observer(index, 60)).collect();
    let mut calls = Vec::new();
    for publisher in publishers {
        calls.extend(publisher.await.unwrap());
    }
    for running in observers {
        running.await.unwrap();
    }
    // Longer than the delay of any call, so that the history is complete.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let documents = history(&inner).await;
    check_history(&documents, &calls);

    store.set_faults(0);
    states[0].lock().unwrap().set_poller(now(), true);
    let last: Vec<_> = (0..OBSERVERS).map(|index| observer(index, 300)).collect();
    for running in last {
        running.await.unwrap();
    }
    for (state, applied) in states.iter().zip(applications.iter()) {
        let applied = applied.lock().unwrap();
        assert!(
            applied.is_sorted_by(|a, b| a.revision() < b.revision()),
            "a revision decreased"
        );
        for document in applied.iter() {
            assert_eq!(document, &documents[document.revision().0 as usize - 1]);
        }
        assert_eq!(
            state.lock().unwrap().revision().0,
            documents.len() as u64,
            "the last revision is not active"
        );
    }
    let count = |status| {
        calls
            .iter()
            .filter(|c| c.result.as_ref().is_err_and(|p| p.status == status))
            .count()
    };
    (documents.len(), [count(409), count(503), count(504)])
}

fn in_virtual_time<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(future)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against two commits of one revision, an accepted change that is lost, a refused
    /// change that is applied, and a process that activates a lower revision.
    #[test]
    fn publishers_match_a_linear_history(seed in any::<u64>(), faults in 0u32..400) {
        in_virtual_time(run(seed, faults));
    }
}

/// Guards against a race test without conflicts or faults: it must reach each kind of result.
#[test]
fn the_race_reaches_every_outcome() {
    let mut total = (0, [0; 3]);
    for seed in 0..24 {
        let (accepted, refused) = in_virtual_time(run(seed, 250));
        total.0 += accepted;
        for (sum, count) in total.1.iter_mut().zip(refused) {
            *sum += count;
        }
    }
    println!("accepted, 409/503/504: {total:?}");
    assert!(total.0 > 0 && total.1.iter().all(|&count| count > 0));
}
