//! Broken promises that the ledger must find, and kept ones that it must not take for broken.

use ebonylug_soak::{Ask, Change, End, Ledger, Notes, Promise, Run, Sort, Span, Trouble};

const START: u64 = 1_000_000;

fn ask(id: u64, sort: Sort, at: u64, end: End) -> Ask {
    Ask {
        id,
        sort,
        route: 0,
        entry: (0, 1),
        key: 0,
        sent: START + at,
        ended: START + at + 100,
        end,
    }
}

fn run(id: u64, at: u64) -> Run {
    Run {
        id,
        engine: "engine-1".into(),
        at: START + at,
        after: 0,
        wrong: None,
        breaks: false,
    }
}

fn served() -> End {
    End::Served { wrong: None }
}

fn status(code: u16) -> End {
    End::Status {
        code,
        signed: false,
    }
}

fn notes(asks: Vec<Ask>, runs: Vec<Run>) -> Notes {
    Notes {
        started: START,
        asks,
        runs,
        ..Notes::default()
    }
}

/// Returns the promises that are broken.
fn broken(notes: &Notes) -> Vec<Promise> {
    let (breaches, _) = Ledger::new(notes).judge();
    let mut promises: Vec<Promise> = breaches.into_iter().map(|breach| breach.promise).collect();
    promises.dedup();
    promises
}

fn harm(what: Trouble, from: u64, to: u64) -> Span {
    Span {
        what,
        from: START + from,
        to: START + to,
    }
}

/// Guards against a second run that is not seen, and against one that is allowed being blamed.
#[test]
fn a_request_that_ran_twice() {
    for (sort, expected) in [
        (Sort::Once, vec![Promise::Once]),
        (Sort::Stream, vec![Promise::Once]),
        (Sort::Safe, vec![]),
        (Sort::Resumable, vec![]),
    ] {
        let notes = notes(
            vec![ask(1, sort, 0, served())],
            vec![run(1, 10), run(1, 20)],
        );
        assert_eq!(broken(&notes), expected, "{sort:?}");
    }
}

/// Guards against a false refusal that is not seen.
#[test]
fn a_refused_request_that_ran() {
    for code in [408, 421, 429, 503] {
        let refused = |sort| notes(vec![ask(1, sort, 0, status(code))], vec![run(1, 10)]);
        assert_eq!(broken(&refused(Sort::Once)), [Promise::Refused], "{code}");
        assert_eq!(broken(&refused(Sort::Safe)), [], "{code}");
    }
    let unknown = notes(vec![ask(1, Sort::Once, 0, status(502))], vec![run(1, 10)]);
    assert_eq!(broken(&unknown), []);
}

/// Guards against wrong answers, and requests that engines get changed or that nobody sent.
#[test]
fn a_wrong_answer_and_a_changed_request() {
    let wrong = Some("another body".to_owned());
    for end in [
        End::Served {
            wrong: wrong.clone(),
        },
        End::Cut {
            wrong: wrong.clone(),
        },
    ] {
        let notes = notes(vec![ask(1, Sort::Safe, 0, end)], vec![]);
        assert_eq!(broken(&notes), [Promise::Whole]);
    }
    let changed = Run {
        wrong,
        ..run(1, 10)
    };
    let asks = vec![ask(1, Sort::Safe, 0, served())];
    assert_eq!(broken(&notes(asks, vec![changed])), [Promise::Unchanged]);
    assert_eq!(
        broken(&notes(vec![], vec![run(7, 10)])),
        [Promise::Unchanged]
    );
}

/// Guards against a configuration that comes late or falls back.
#[test]
fn a_configuration_that_is_not_in_force() {
    let added = |at, end| Ask {
        route: 2,
        ..ask(at, Sort::Safe, at, end)
    };
    let mut notes = notes(vec![added(5_000, status(404))], vec![]);
    notes.changes = vec![(START + 2_000, Change::Config { version: 2 })];
    assert_eq!(broken(&notes), [Promise::Config]);
    // Within the bound, or without touch to the store.
    notes.asks = vec![added(3_900, status(404))];
    assert_eq!(broken(&notes), []);
    notes.asks = vec![added(5_000, status(404))];
    notes.troubles = vec![harm(Trouble::Store(0), 1_000, 2_500)];
    assert_eq!(broken(&notes), []);
    notes.troubles = vec![harm(Trouble::Store(1), 1_000, 2_500)];
    assert_eq!(broken(&notes), [Promise::Config]);
    // Falling back has no bound of time, but a new life of the entry knows nothing.
    notes.asks = vec![added(2_100, served()), added(2_300, status(404))];
    assert_eq!(broken(&notes), [Promise::Config]);
    notes.asks[1].entry = (0, 2);
    assert_eq!(broken(&notes), []);
}

/// Guards against a key that is accepted too long, also by an entry out of touch.
#[test]
fn a_key_that_was_taken_away() {
    let late = |at| {
        notes(
            vec![ask(1, Sort::Safe, at, served())],
            vec![run(1, at + 10)],
        )
    };
    let mut notes = late(5_500);
    notes.changes = vec![(START + 400, Change::Revoked { key: 0 })];
    notes.troubles = vec![harm(Trouble::Store(0), 0, 9_000)];
    assert_eq!(broken(&notes), [Promise::Revoked]);
    notes.asks[0].sent = START + 5_300;
    assert_eq!(broken(&notes), []);
    notes.asks[0].sent = START + 5_500;
    notes.asks[0].key = 1;
    assert_eq!(broken(&notes), []);
}

/// Guards against requests to engines that leave or whose zone is taken out.
#[test]
fn an_engine_that_is_to_be_left_alone() {
    let mut notes = notes(
        vec![ask(1, Sort::Safe, 6_000, served())],
        vec![run(1, 6_010)],
    );
    let leaves = Change::Leaves {
        engine: "engine-1".into(),
    };
    let drained = Change::Drained {
        engines: vec!["engine-1".into()],
    };
    notes.changes = vec![(START + 3_900, leaves.clone())];
    assert_eq!(broken(&notes), [Promise::Drained]);
    notes.changes = vec![(START + 4_100, leaves)];
    assert_eq!(broken(&notes), []);
    notes.changes = vec![(START + 900, drained.clone())];
    assert_eq!(broken(&notes), [Promise::Drained]);
    notes.changes.push((START + 5_950, Change::Restored));
    assert_eq!(broken(&notes), []);
    notes.changes = vec![(START + 900, drained)];
    notes.troubles = vec![harm(Trouble::Entry(0), 3_500, 3_600)];
    assert_eq!(broken(&notes), []);
}

/// Guards against quotas that are exceeded over all entries.
#[test]
fn more_than_a_quota() {
    let played = |count: u64| {
        let asks = (0..count).map(|id| Ask {
            key: 9,
            entry: (usize::try_from(id % 3).expect("it is small"), 1),
            ..ask(id, Sort::Safe, id * 10, served())
        });
        let runs = (0..count).map(|id| run(id, id * 10 + 1));
        notes(asks.collect(), runs.collect())
    };
    // (100 tokens a second for 8 s, 100 at once) and a tenth, and 100; each request counts 10.
    assert_eq!(broken(&played(109)), []);
    assert_eq!(broken(&played(110)), [Promise::Quota]);
}

/// Guards against answers that never come, cut requests, and processes that end by themselves.
#[test]
fn requests_that_are_not_answered() {
    let hung = notes(vec![ask(1, Sort::Safe, 0, End::Hung)], vec![]);
    assert_eq!(broken(&hung), [Promise::Answered]);
    let mut cut = notes(
        vec![ask(1, Sort::Safe, 5_000, End::Cut { wrong: None })],
        vec![run(1, 5_010)],
    );
    assert_eq!(broken(&cut), [Promise::Kept]);
    for what in [Trouble::Entry(0), Trouble::Engine] {
        cut.troubles = vec![harm(what, 4_500, 4_600)];
        assert_eq!(broken(&cut), [], "{what:?}");
    }
    cut.troubles = vec![harm(Trouble::Entry(1), 4_500, 4_600)];
    assert_eq!(broken(&cut), [Promise::Kept]);
    cut.runs[0].breaks = true;
    assert_eq!(broken(&cut), []);
    cut.runs[0].breaks = false;
    // A close that crosses a request which was not passed on.
    cut.runs.clear();
    assert_eq!(broken(&cut), []);
    let mut ended = notes(vec![], vec![]);
    ended.ends = vec![(START, "entry 0 ended".into())];
    assert_eq!(broken(&ended), [Promise::Ends]);
}
