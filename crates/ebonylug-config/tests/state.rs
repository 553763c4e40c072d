//! Tests of the active configuration: what is activated, what is fetched, and when.

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

/// Returns the snapshot of a revision. Each revision adds or drains one zone.
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

fn newer(revision: u64) -> FetchOutcome {
    FetchOutcome::New(Box::new(snapshot(revision)))
}

fn peer(name: &str) -> SourceId {
    SourceId::Peer(Name::new(name))
}

/// Guards against a configuration that reverts, for any source.
#[test]
fn the_revision_never_decreases() {
    let clock = ManualClock::new();
    let mut state = ConfigState::new(Settings::default(), clock.now());
    let steps = [(3, 3), (2, 3), (3, 3), (5, 5), (4, 5), (1, 5)];
    for (offered, active) in steps {
        let before = state.revision();
        let applied = state.complete_fetch(clock.now(), &SourceId::Store, newer(offered));
        let expected = if before.0 < offered {
            ApplyOutcome::Activated
        } else {
            ApplyOutcome::Ignored
        };
        assert_eq!(applied, expected, "revision {offered}");
        assert_eq!(state.revision(), Revision(active));
        assert_eq!(**state.document().unwrap(), document(active));
    }
}

/// Guards against a process that serves requests without a configuration, or that waits for the
/// store although a peer has one.
#[test]
fn startup_alternates_between_store_and_peers() {
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
    assert!(!state.is_ready(), "an empty store has no configuration");
    state.complete_fetch(clock.now(), &peer("p"), newer(2));
    assert!(state.is_ready());
}

/// Guards against a revision that is activated late: checks the order and time of fetches in
/// virtual time.
#[test]
fn sources_are_fetched_on_schedule() {
    #[derive(Debug)]
    enum Step {
        Announced(&'static str, u64),
        Completed(SourceId, FetchOutcome),
        Poller(bool),
        Tick(Option<SourceId>),
        /// Milliseconds.
        Elapsed(u64),
    }
    use Step::*;
    let store = || Some(SourceId::Store);
    let cases: [(&str, Vec<Step>); 7] = [
        (
            "a poller reads the store every second",
            vec![
                Poller(true),
                Tick(store()),
                Completed(SourceId::Store, FetchOutcome::NotNewer),
                Elapsed(999),
                Tick(None),
                Elapsed(1),
                Tick(store()),
            ],
        ),
        (
            "other processes read the store every 30 s",
            vec![
                Tick(store()),
                Completed(SourceId::Store, FetchOutcome::NotNewer),
                Elapsed(29_999),
                Tick(None),
                Elapsed(1),
                Tick(store()),
            ],
        ),
        (
            "a new poller reads the store at once",
            vec![
                Tick(store()),
                Completed(SourceId::Store, FetchOutcome::NotNewer),
                Poller(true),
                Tick(store()),
            ],
        ),
        (
            "a higher revision is fetched from the announcing peer",
            vec![
                Tick(store()),
                Completed(SourceId::Store, FetchOutcome::NotNewer),
                Announced("p", 3),
                Tick(Some(peer("p"))),
                Completed(peer("p"), newer(3)),
                Tick(None),
            ],
        ),
        (
            "a lower or equal revision causes no fetch",
            vec![
                Tick(store()),
                Completed(SourceId::Store, FetchOutcome::NotNewer),
                Announced("p", 1),
                Tick(None),
                Announced("p", 0),
                Tick(None),
            ],
        ),
        (
            "a peer that fails is followed by another, then by the store",
            vec![
                Tick(store()),
                Completed(SourceId::Store, FetchOutcome::NotNewer),
                Announced("p", 2),
                Announced("q", 2),
                Tick(Some(peer("q"))),
                Completed(peer("q"), FetchOutcome::Failed),
                Tick(None),
                Elapsed(200),
                Tick(Some(peer("p"))),
                Completed(peer("p"), FetchOutcome::Failed),
                Elapsed(200),
                Tick(store()),
            ],
        ),
        (
            "a peer that does not respond is counted as failed",
            vec![
                Tick(store()),
                Completed(SourceId::Store, FetchOutcome::NotNewer),
                Announced("p", 2),
                Tick(Some(peer("p"))),
                Elapsed(700),
                Tick(None),
                Elapsed(799),
                Tick(None),
                Elapsed(1),
                Tick(None),
                Elapsed(200),
                Tick(store()),
                // The late configuration is activated all the same.
                Completed(peer("p"), newer(2)),
                Tick(None),
            ],
        ),
    ];
    for (name, steps) in cases {
        let clock = ManualClock::new();
        let mut state = ConfigState::new(Settings::default(), clock.now());
        state.apply(snapshot(1));
        for (index, step) in steps.into_iter().enumerate() {
            match step {
                Announced(peer, n) => state.record_revision(&Name::new(peer), Revision(n)),
                Completed(source, fetched) => {
                    state.complete_fetch(clock.now(), &source, fetched);
                }
                Poller(poller) => state.set_poller(clock.now(), poller),
                Tick(source) => assert_eq!(state.tick(clock.now()), source, "{name}: step {index}"),
                Elapsed(millis) => clock.advance(Duration::from_millis(millis)),
            }
        }
    }
}

/// Guards against watchers that miss a change or return to an older revision, and against unbounded
/// memory.
#[test]
fn a_watch_returns_changes_or_the_document() {
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
    let owned = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    assert_eq!(names(1), Err(6));
    assert_eq!(
        names(2),
        Ok((6, owned(&["zone-0", "zone-1", "zone-2", "zone-0"])))
    );
    assert_eq!(
        names(4),
        Ok((6, owned(&["zone-1", "zone-2", "zone-0"]))),
        "repeats revision 4"
    );
    assert_eq!(names(5), Ok((6, owned(&["zone-0"]))));
    assert_eq!(names(6), Ok((6, owned(&[]))));
    assert_eq!(
        names(9),
        Ok((9, owned(&[]))),
        "does not return to an older revision"
    );

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
        "a change of 3,000 resources is not retained"
    );
}

fn names_len(state: &ConfigState, since: u64) -> Option<usize> {
    match state.changes_since(Revision(since))? {
        WatchUpdate::Full(_) => None,
        WatchUpdate::Delta { changes, .. } => Some(changes.len()),
    }
}

/// A peer that serves a snapshot. If `corrupt`, it serves another manifest for every hash.
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

/// Guards against bodies that do not match the head, and against transfers of known sections.
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
    let wrong_revision = Head {
        revision: Revision(9),
        ..head.clone()
    };
    let wrong_revision = fetch(&with(wrong_revision, false), None).await.unwrap_err();
    assert!(
        wrong_revision.to_string().contains("revision 9"),
        "{wrong_revision}"
    );
    let missing_body = Head {
        hash: snapshot(5).head().hash,
        ..head
    };
    let missing_body = fetch(&with(missing_body, false), None).await.unwrap_err();
    assert_eq!(
        missing_body,
        Error::Platform(ebonylug_platform::Error::NotFound)
    );

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

/// Guards against processes that disagree on the pollers, and against a removed instance that
/// changes more than its own slot.
#[test]
fn pollers_are_stable() {
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

/// Guards against a process that never fetches from the store or its seed peers during startup,
/// because unreachable peers announce a configuration faster than it can try them.
#[test]
fn announcements_of_unreachable_peers_do_not_block_startup() {
    let clock = ManualClock::new();
    let mut state = ConfigState::new(Settings::default(), clock.now());
    let seed = Name::new("seed");
    state.set_peers(vec![seed.clone()]);
    let mut sources = Vec::new();
    for _ in 0..40 {
        state.record_revision(&Name::new("entry-1"), Revision(1));
        state.record_revision(&Name::new("entry-2"), Revision(1));
        if let Some(source) = state.tick(clock.now()) {
            state.complete_fetch(clock.now(), &source, FetchOutcome::Failed);
            sources.push(source);
        }
        clock.advance(Duration::from_millis(100));
    }
    assert!(sources.contains(&SourceId::Store), "{sources:?}");
    assert!(sources.contains(&SourceId::Peer(seed)), "{sources:?}");
}
