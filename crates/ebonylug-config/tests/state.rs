//! Tests of the configuration in force: what is applied, what is fetched, and when.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ebonylug_config::{
    ApplyOutcome, ConfigState, Error, FetchOutcome, Head, Publisher, Settings, Snapshot, Source,
    SourceId, StoreSource, WatchUpdate, fetch, select_pollers,
};
use ebonylug_core::{Clock, Incarnation, ManualClock, Name, Revision};
use ebonylug_platform::{MemoryPlatform, ObjectHash};
use ebonylug_resource::{
    AvailabilityZoneSpec, Change, Document, Kind, Manifest, OrganisationSpec, Resource, ZoneState,
};

/// Returns the snapshot of a revision: each revision adds or drains one zone.
fn snapshot(revision: u64) -> Snapshot {
    Snapshot::new(document(revision), "test")
}

fn document(revision: u64) -> Document {
    (1..=revision).fold(Document::empty(), |document, number| {
        let name = format!("zone-{}", number % 3);
        let state = if number > 3 {
            ZoneState::Drained
        } else {
            ZoneState::Open
        };
        let spec = AvailabilityZoneSpec { state };
        document
            .apply(&Change::put(Resource::new(&name, spec)))
            .unwrap()
    })
}

fn new(revision: u64) -> FetchOutcome {
    FetchOutcome::New(Box::new(snapshot(revision)))
}

fn peer(name: &str) -> SourceId {
    SourceId::Peer(Name::new(name))
}

/// Guards against a configuration that reverts, whatever the source.
#[test]
fn the_revision_never_falls() {
    let clock = ManualClock::new();
    let mut state = ConfigState::new(Settings::default(), clock.now());
    let steps = [(3, 3), (2, 3), (3, 3), (5, 5), (4, 5), (1, 5)];
    for (offered, in_force) in steps {
        let before = state.revision();
        let applied = state.complete_fetch(clock.now(), &SourceId::Store, new(offered));
        let expected = if before.0 < offered {
            ApplyOutcome::Activated
        } else {
            ApplyOutcome::Ignored
        };
        assert_eq!(applied, expected, "revision {offered}");
        assert_eq!(state.revision(), Revision(in_force));
        assert_eq!(**state.document().unwrap(), document(in_force));
    }
}

/// Guards against a process that serves without a configuration, or that waits for the store
/// although a peer has one.
#[test]
fn the_start_alternates_between_store_and_peers() {
    let clock = ManualClock::new();
    let mut state = ConfigState::new(Settings::default(), clock.now());
    state.set_peers(vec![Name::new("p"), Name::new("q")]);
    let order = [
        SourceId::Store,
        peer("p"),
        SourceId::Store,
        peer("q"),
        SourceId::Store,
        peer("p"),
    ];
    for source in order {
        assert!(!state.is_ready());
        assert_eq!(state.document(), None);
        assert_eq!(state.tick(clock.now()), Some(source.clone()));
        assert_eq!(state.tick(clock.now()), None, "one fetch at a time");
        state.complete_fetch(clock.now(), &source, FetchOutcome::Failed);
        assert_eq!(state.tick(clock.now()), None, "waits after a failure");
        clock.advance(Settings::default().retry_delay);
    }
    assert_eq!(state.tick(clock.now()), Some(SourceId::Store));
    state.complete_fetch(clock.now(), &SourceId::Store, FetchOutcome::NotNewer);
    assert!(!state.is_ready(), "an empty store is no configuration");
    state.complete_fetch(clock.now(), &peer("p"), new(2));
    assert!(state.is_ready());
}

/// Guards against a revision that is in force late: whom to ask, and when, in virtual time.
#[test]
fn sources_are_asked_in_time() {
    #[derive(Debug)]
    enum Step {
        Heard(&'static str, u64),
        Ends(SourceId, FetchOutcome),
        Poller(bool),
        Asks(Option<SourceId>),
        /// Milliseconds.
        After(u64),
    }
    use Step::*;
    let store = || Some(SourceId::Store);
    let cases: [(&str, Vec<Step>); 7] = [
        (
            "a poller asks every second",
            vec![
                Poller(true),
                Asks(store()),
                Ends(SourceId::Store, FetchOutcome::NotNewer),
                After(999),
                Asks(None),
                After(1),
                Asks(store()),
            ],
        ),
        (
            "others ask every 30 s",
            vec![
                Asks(store()),
                Ends(SourceId::Store, FetchOutcome::NotNewer),
                After(29_999),
                Asks(None),
                After(1),
                Asks(store()),
            ],
        ),
        (
            "a new poller asks at once",
            vec![
                Asks(store()),
                Ends(SourceId::Store, FetchOutcome::NotNewer),
                Poller(true),
                Asks(store()),
            ],
        ),
        (
            "a higher revision is fetched from the peer that has it",
            vec![
                Asks(store()),
                Ends(SourceId::Store, FetchOutcome::NotNewer),
                Heard("p", 3),
                Asks(Some(peer("p"))),
                Ends(peer("p"), new(3)),
                Asks(None),
            ],
        ),
        (
            "a lower or equal revision is no reason to fetch",
            vec![
                Asks(store()),
                Ends(SourceId::Store, FetchOutcome::NotNewer),
                Heard("p", 1),
                Asks(None),
                Heard("p", 0),
                Asks(None),
            ],
        ),
        (
            "a peer that fails is followed by another, then by the store",
            vec![
                Asks(store()),
                Ends(SourceId::Store, FetchOutcome::NotNewer),
                Heard("p", 2),
                Heard("q", 2),
                Asks(Some(peer("q"))),
                Ends(peer("q"), FetchOutcome::Failed),
                Asks(None),
                After(200),
                Asks(Some(peer("p"))),
                Ends(peer("p"), FetchOutcome::Failed),
                After(200),
                Asks(store()),
            ],
        ),
        (
            "a silent peer counts as failed",
            vec![
                Asks(store()),
                Ends(SourceId::Store, FetchOutcome::NotNewer),
                Heard("p", 2),
                Asks(Some(peer("p"))),
                After(700),
                Asks(None),
                After(799),
                Asks(None),
                After(1),
                Asks(None),
                After(200),
                Asks(store()),
                // The late answer is applied all the same.
                Ends(peer("p"), new(2)),
                Asks(None),
            ],
        ),
    ];
    for (name, steps) in cases {
        let clock = ManualClock::new();
        let mut state = ConfigState::new(Settings::default(), clock.now());
        state.apply(snapshot(1));
        for (index, step) in steps.into_iter().enumerate() {
            match step {
                Heard(peer, revision) => {
                    state.record_revision(&Name::new(peer), Revision(revision))
                }
                Ends(source, fetched) => {
                    state.complete_fetch(clock.now(), &source, fetched);
                }
                Poller(poller) => state.set_poller(clock.now(), poller),
                Asks(source) => assert_eq!(state.tick(clock.now()), source, "{name}: step {index}"),
                After(millis) => clock.advance(Duration::from_millis(millis)),
            }
        }
    }
}

/// Guards against watchers that miss a change, go back, or need unbounded memory.
#[test]
fn a_watch_gets_changes_or_everything() {
    let clock = ManualClock::new();
    let mut state = ConfigState::new(Settings::default(), clock.now());
    assert_eq!(state.changes_since(Revision(0)), None);
    for revision in [2, 3, 5, 6] {
        state.apply(snapshot(revision));
    }
    let names = |since| match state.changes_since(Revision(since)).unwrap() {
        WatchUpdate::Full(document) => Err(document.revision().0),
        WatchUpdate::Delta { revision, changes } => Ok((
            revision.0,
            changes
                .iter()
                .map(|c| c.name.to_string())
                .collect::<Vec<_>>(),
        )),
    };
    let list = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    assert_eq!(names(1), Err(6));
    assert_eq!(
        names(2),
        Ok((6, list(&["zone-0", "zone-1", "zone-2", "zone-0"])))
    );
    assert_eq!(
        names(4),
        Ok((6, list(&["zone-1", "zone-2", "zone-0"]))),
        "repeats revision 4"
    );
    assert_eq!(names(5), Ok((6, list(&["zone-0"]))));
    assert_eq!(names(6), Ok((6, list(&[]))));
    assert_eq!(names(9), Ok((9, list(&[]))), "does not go back");

    let next = document(6)
        .apply(&Change::delete(Kind::AvailabilityZone, "zone-1"))
        .unwrap();
    state.apply(Snapshot::new(next.clone(), "test"));
    let Some(WatchUpdate::Delta { changes, .. }) = state.changes_since(Revision(6)) else {
        panic!("the deletion is not listed");
    };
    assert_eq!((changes.len(), &changes[0].resource), (1, &None));

    let spec = OrganisationSpec {
        weight: 1,
        tokens: vec![],
        tiers: Default::default(),
    };
    let organisation = |n: usize| Change::put(Resource::new(&format!("o{n}"), spec.clone()));
    let large = (0..3_000).fold(Change::default(), |all, n| all.and(organisation(n)));
    state.apply(Snapshot::new(next.apply(&large).unwrap(), "test"));
    assert_eq!(
        names_len(&state, 7),
        None,
        "a change of 3,000 resources is not kept"
    );
}

fn names_len(state: &ConfigState, since: u64) -> Option<usize> {
    match state.changes_since(Revision(since))? {
        WatchUpdate::Full(_) => None,
        WatchUpdate::Delta { changes, .. } => Some(changes.len()),
    }
}

/// A peer that answers with a snapshot, with some bodies replaced.
struct Peer {
    head: Head,
    snapshot: Snapshot,
    corrupt: bool,
}

impl Source for Peer {
    async fn head(&self) -> ebonylug_platform::Result<Option<Head>> {
        Ok(Some(self.head.clone()))
    }

    async fn body(&self, hash: ObjectHash) -> ebonylug_platform::Result<Bytes> {
        if self.corrupt {
            // A valid manifest, but of a document without sections.
            let (revision, sections) = (self.head.revision, Vec::new());
            return Ok(Manifest { revision, sections }.to_bytes());
        }
        let body = self.snapshot.body(&hash).cloned();
        body.ok_or(ebonylug_platform::Error::NotFound)
    }
}

/// Guards against bodies that do not belong to the head, and against transfers of what is known.
#[tokio::test]
async fn fetched_bodies_are_checked() {
    let with = |head: Head, corrupt| Peer {
        head,
        snapshot: snapshot(4),
        corrupt,
    };
    let head = snapshot(4).head().clone();
    let known = Arc::new(snapshot(4));

    let fetched = fetch(&with(head.clone(), false), None).await.unwrap();
    assert_eq!(fetched.as_ref(), Some(&*known));
    let fetched = fetch(&with(head.clone(), false), Some(&known))
        .await
        .unwrap();
    assert_eq!(fetched, None, "nothing higher");

    let corrupt = fetch(&with(head.clone(), true), None).await.unwrap_err();
    assert!(matches!(corrupt, Error::Corrupt(_)), "{corrupt}");
    let lying = Head {
        revision: Revision(9),
        ..head.clone()
    };
    let lying = fetch(&with(lying, false), None).await.unwrap_err();
    assert!(lying.to_string().contains("revision 9"), "{lying}");
    let moved = Head {
        hash: snapshot(5).head().hash,
        ..head
    };
    let moved = fetch(&with(moved, false), None).await.unwrap_err();
    assert_eq!(moved, Error::Platform(ebonylug_platform::Error::NotFound));

    let store = MemoryPlatform::new();
    let publisher = Publisher::new(store.clone(), Incarnation(1));
    let zone = |name| Change::put(Resource::new(name, AvailabilityZoneSpec::default()));
    let spec = OrganisationSpec {
        weight: 1,
        tokens: vec![],
        tiers: Default::default(),
    };
    publisher
        .publish(&zone("a").and(Change::put(Resource::new("o", spec))))
        .await
        .unwrap();
    let first = fetch(&StoreSource(store.clone()), None)
        .await
        .unwrap()
        .map(Arc::new);
    publisher.publish(&zone("b")).await.unwrap();
    let before = store.call_counts().reads;
    fetch(&StoreSource(store.clone()), first.as_ref())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(
        store.call_counts().reads - before,
        3,
        "head, manifest and the section of zones"
    );
}

/// Guards against pollers that disagree, or that all change when one instance goes.
#[test]
fn pollers_are_few_and_stable() {
    let mut names: Vec<_> = (0..410).map(|n| Name::new(&format!("entry-{n}"))).collect();
    let chosen = select_pollers(&names, 3);
    names.reverse();
    assert_eq!(
        select_pollers(&names, 3),
        chosen,
        "the order of the list does not matter"
    );
    names.retain(|name| *name != chosen[1]);
    let next = select_pollers(&names, 3);
    assert_eq!([&next[0], &next[1]], [&chosen[0], &chosen[2]]);
    assert_eq!(select_pollers(&names[..2], 3).len(), 2);
    assert_eq!(select_pollers(&[], 3), []);
}

/// Guards against a process that never asks the store or its seeds at its start, because peers that it
/// cannot reach announce a configuration faster than it can try them.
#[test]
fn announcements_of_unreachable_peers_do_not_hold_up_a_start() {
    let clock = ManualClock::new();
    let mut state = ConfigState::new(Settings::default(), clock.now());
    let seed = Name::new("seed");
    state.set_peers(vec![seed.clone()]);
    let mut asked = Vec::new();
    for _ in 0..40 {
        state.record_revision(&Name::new("entry-1"), Revision(1));
        state.record_revision(&Name::new("entry-2"), Revision(1));
        if let Some(source) = state.tick(clock.now()) {
            state.complete_fetch(clock.now(), &source, FetchOutcome::Failed);
            asked.push(source);
        }
        clock.advance(Duration::from_millis(100));
    }
    assert!(asked.contains(&SourceId::Store), "asked {asked:?}");
    assert!(asked.contains(&SourceId::Peer(seed)), "asked {asked:?}");
}
