//! Tests of single transitions of a keyed call, without a store or a target.

use std::time::{Duration, Instant, SystemTime};

use ebonylug_core::{AttemptId, Incarnation, Name, Reason, RequestId, RevokeOutcome};
use ebonylug_idempotency::{
    Action, CallKey, CallOutcome, Destination, Event, JoinOutcome, KeyedCall, KeyedRequest, Record,
    RecordState, RequestHash, Response, SendOutcome,
};
use ebonylug_platform::{Committed, Error, Row, Transaction};

fn destination() -> Destination {
    Destination {
        target: Name::new("order-1"),
        incarnation: Incarnation(7),
    }
}

fn response() -> Response {
    Response {
        status: 201,
        headers: vec![],
        body: "done".into(),
    }
}

/// Returns the event of reading the row that another entry wrote.
fn row(number: u32, state: RecordState) -> Event {
    let record = Record {
        content: RequestHash::of("POST", "/orders", b""),
        attempt: AttemptId {
            request: RequestId(2),
            number,
        },
        destination: destination(),
        state,
        token: "other".into(),
        created: 0,
        changed: 0,
    };
    let value = serde_json::to_string(&record).unwrap().into();
    Event::Read(Ok(Some(Row {
        key: "k".into(),
        version: 9,
        value,
    })))
}

fn state_of(transaction: &Transaction) -> RecordState {
    let value = transaction.writes[0].value.as_ref().unwrap();
    serde_json::from_str::<Record>(value).unwrap().state
}

fn describe(action: &Action) -> String {
    match action {
        Action::Read => "read".into(),
        Action::Write(transaction) => match state_of(transaction) {
            RecordState::Done(_) => "write done".into(),
            state => format!("write {state:?}"),
        },
        Action::SelectTarget => "select target".into(),
        Action::Send((attempt, _)) => format!("send {}", attempt.number),
        Action::Join((attempt, _)) => format!("join {}", attempt.number),
        Action::Revoke((attempt, _)) => format!("revoke {}", attempt.number),
        Action::Wait(duration) => format!("wait {}", duration.as_millis()),
        Action::Respond(CallOutcome::Response(_)) => "respond Response".into(),
        Action::Respond(outcome) => format!("respond {outcome:?}"),
    }
}

/// Guards against a second attempt without proof that the first was not run, an endless wait, a
/// wrong outcome or a second one, and an outcome that is not recorded although the store is
/// available.
#[test]
fn each_event_leads_to_its_action() {
    let conflict = || Event::Written(Err(Error::Conflict { key: "k".into() }));
    let down = || Event::Written(Err(Error::Unavailable));
    let written = || Event::Written(Ok(Committed { version: 1 }));
    let reserved = || vec![conflict(), row(0, RecordState::Reserved)];
    let not_seen = || Event::Joined(JoinOutcome::NotSeen);
    let unreachable = || Event::Joined(JoinOutcome::Unreachable);
    let revoking = || [reserved(), vec![not_seen(), Event::Elapsed, not_seen()]].concat();
    let revoked = |revoked| [revoking(), vec![Event::Revoked(revoked)]].concat();
    let sent = |sent| vec![written(), Event::Sent(sent)];
    let completed = || sent(SendOutcome::Completed(response()));
    let failing = |count| {
        [
            completed(),
            vec![vec![down(), Event::Elapsed]; count].concat(),
        ]
        .concat()
    };
    let rejoined = |number| {
        let rejoin = vec![not_seen(), Event::Elapsed, unreachable(), Event::Elapsed];
        [
            reserved(),
            rejoin,
            vec![row(number, RecordState::Reserved), not_seen()],
        ]
        .concat()
    };
    // Events, whether the deadline has passed at the last one, and the resulting actions.
    let cases = [
        (vec![], false, "write Reserved"),
        (vec![conflict()], false, "read"),
        (reserved(), false, "join 0"),
        (
            vec![conflict(), row(3, RecordState::NotRun)],
            false,
            "select target",
        ),
        (
            vec![
                conflict(),
                row(3, RecordState::NotRun),
                Event::TargetSelected(Ok(destination())),
                written(),
            ],
            false,
            "send 4",
        ),
        (
            vec![conflict(), row(3, RecordState::Unknown)],
            false,
            "respond Unknown",
        ),
        (
            vec![conflict(), row(3, RecordState::Done(Some(response())))],
            false,
            "respond Response",
        ),
        (
            vec![conflict(), row(3, RecordState::Done(None))],
            false,
            "join 3",
        ),
        (
            vec![conflict(), row(3, RecordState::Done(None)), not_seen()],
            false,
            "respond Unknown",
        ),
        (
            vec![conflict(), Event::Read(Ok(None))],
            false,
            "select target",
        ),
        (
            vec![conflict(), Event::Read(Err(Error::Unavailable))],
            false,
            "wait 100",
        ),
        (
            vec![conflict(), Event::Read(Err(Error::Unavailable))],
            true,
            "respond Unknown",
        ),
        (vec![down()], false, "wait 100"),
        (vec![down(), Event::Elapsed], false, "write Reserved"),
        (vec![down()], true, "respond NotRun(Store)"),
        ([reserved(), vec![not_seen()]].concat(), false, "wait 500"),
        (
            [reserved(), vec![not_seen(), Event::Elapsed]].concat(),
            false,
            "join 0",
        ),
        (revoking(), false, "revoke 0"),
        (rejoined(0), false, "revoke 0"),
        (rejoined(1), false, "wait 500"),
        (
            [reserved(), vec![unreachable()]].concat(),
            false,
            "wait 100",
        ),
        (
            [reserved(), vec![unreachable(), Event::Elapsed]].concat(),
            false,
            "read",
        ),
        (
            [reserved(), vec![unreachable()]].concat(),
            true,
            "respond Unknown",
        ),
        (
            [reserved(), vec![Event::Joined(JoinOutcome::Unknown)]].concat(),
            false,
            "revoke 0",
        ),
        (
            [
                reserved(),
                vec![Event::Joined(JoinOutcome::Completed(response()))],
            ]
            .concat(),
            false,
            "respond Response, write done",
        ),
        (revoked(Some(RevokeOutcome::NotRun)), false, "select target"),
        (revoked(Some(RevokeOutcome::Running)), false, "wait 100"),
        (revoked(Some(RevokeOutcome::Finished)), false, "wait 100"),
        (
            revoked(Some(RevokeOutcome::Finished)),
            true,
            "respond Unknown",
        ),
        (
            [revoked(Some(RevokeOutcome::Running)), vec![Event::Elapsed]].concat(),
            false,
            "join 0",
        ),
        (
            revoked(Some(RevokeOutcome::Unknown)),
            false,
            "write Unknown",
        ),
        (revoked(None), false, "wait 100"),
        (revoked(None), true, "respond Unknown"),
        (vec![written()], false, "send 0"),
        (
            sent(SendOutcome::Refused(Reason::Full)),
            false,
            "select target",
        ),
        (sent(SendOutcome::Unknown), false, "write Unknown"),
        (
            [sent(SendOutcome::Unknown), vec![written()]].concat(),
            false,
            "respond Unknown",
        ),
        (
            [sent(SendOutcome::Unknown), vec![down()]].concat(),
            false,
            "respond Unknown, wait 100",
        ),
        (
            [sent(SendOutcome::Unknown), vec![down(), Event::Elapsed]].concat(),
            false,
            "write Unknown",
        ),
        (
            [
                sent(SendOutcome::Unknown),
                vec![conflict(), row(0, RecordState::Done(Some(response())))],
            ]
            .concat(),
            false,
            "respond Response",
        ),
        (completed(), false, "respond Response, write done"),
        ([completed(), vec![written()]].concat(), false, ""),
        ([completed(), vec![conflict()]].concat(), false, "read"),
        (
            [
                completed(),
                vec![conflict(), Event::Read(Err(Error::Unavailable))],
            ]
            .concat(),
            false,
            "",
        ),
        (failing(4), false, "write done"),
        ([failing(4), vec![down()]].concat(), false, ""),
    ];
    for (events, expired, expected) in cases {
        let now = Instant::now();
        let deadline = now + Duration::from_secs(2);
        let request = KeyedRequest {
            key: CallKey::new(&Name::new("mill"), "k"),
            content: RequestHash::of("POST", "/orders", b""),
            id: RequestId(1),
            deadline,
        };
        let wall = SystemTime::UNIX_EPOCH;
        let (mut call, mut actions) = KeyedCall::start(request, destination(), now, wall);
        let count = events.len();
        let case = format!("{events:?}");
        for (index, event) in events.into_iter().enumerate() {
            let is_late = expired && index + 1 == count;
            actions = call.handle(if is_late { deadline } else { now }, event);
        }
        let described: Vec<_> = actions.iter().map(describe).collect();
        assert_eq!(described.join(", "), expected, "{case}");
    }
}
