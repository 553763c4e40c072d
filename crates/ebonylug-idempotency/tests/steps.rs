//! Tests of single decisions of a keyed call, without a table or a target.

use std::time::{Duration, Instant, SystemTime};

use ebonylug_core::{AttemptId, Incarnation, Name, Reason, RequestId, Revoked};
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

fn answer() -> Response {
    Response {
        status: 201,
        headers: vec![],
        body: "done".into(),
    }
}

/// The row of another entry's attempt.
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
        Action::SelectTarget => "choose".into(),
        Action::Send((attempt, _)) => format!("send {}", attempt.number),
        Action::Join((attempt, _)) => format!("join {}", attempt.number),
        Action::Revoke((attempt, _)) => format!("revoke {}", attempt.number),
        Action::Wait(length) => format!("wait {}", length.as_millis()),
        Action::Respond(CallOutcome::Response(_)) => "finish answer".into(),
        Action::Respond(verdict) => format!("finish {verdict:?}"),
    }
}

/// Guards against a takeover without proof, a wait without end, a verdict without ground or a
/// second verdict, and an outcome that is not recorded although the store can.
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
    let answered = || sent(SendOutcome::Completed(answer()));
    let failing = |count| {
        [
            answered(),
            vec![vec![down(), Event::Elapsed]; count].concat(),
        ]
        .concat()
    };
    let again = |number| {
        let rest = vec![not_seen(), Event::Elapsed, unreachable(), Event::Elapsed];
        [
            reserved(),
            rest,
            vec![row(number, RecordState::Reserved), not_seen()],
        ]
        .concat()
    };
    // Events, whether the deadline has passed at the last one, and the last actions.
    let cases = [
        (vec![], false, "write Reserved"),
        (vec![conflict()], false, "read"),
        (reserved(), false, "join 0"),
        (
            vec![conflict(), row(3, RecordState::NotRun)],
            false,
            "choose",
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
            "finish Unknown",
        ),
        (
            vec![conflict(), row(3, RecordState::Done(Some(answer())))],
            false,
            "finish answer",
        ),
        (
            vec![conflict(), row(3, RecordState::Done(None))],
            false,
            "join 3",
        ),
        (
            vec![conflict(), row(3, RecordState::Done(None)), not_seen()],
            false,
            "finish Unknown",
        ),
        (vec![conflict(), Event::Read(Ok(None))], false, "choose"),
        (
            vec![conflict(), Event::Read(Err(Error::Unavailable))],
            false,
            "wait 100",
        ),
        (
            vec![conflict(), Event::Read(Err(Error::Unavailable))],
            true,
            "finish Unknown",
        ),
        (vec![down()], false, "wait 100"),
        (vec![down(), Event::Elapsed], false, "write Reserved"),
        (vec![down()], true, "finish NotRun(Store)"),
        ([reserved(), vec![not_seen()]].concat(), false, "wait 500"),
        (
            [reserved(), vec![not_seen(), Event::Elapsed]].concat(),
            false,
            "join 0",
        ),
        (revoking(), false, "revoke 0"),
        (again(0), false, "revoke 0"),
        (again(1), false, "wait 500"),
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
            "finish Unknown",
        ),
        (
            [reserved(), vec![Event::Joined(JoinOutcome::Unknown)]].concat(),
            false,
            "revoke 0",
        ),
        (
            [
                reserved(),
                vec![Event::Joined(JoinOutcome::Completed(answer()))],
            ]
            .concat(),
            false,
            "finish answer, write done",
        ),
        (revoked(Some(Revoked::NotRun)), false, "choose"),
        (revoked(Some(Revoked::Running)), false, "wait 100"),
        (revoked(Some(Revoked::Finished)), false, "wait 100"),
        (revoked(Some(Revoked::Finished)), true, "finish Unknown"),
        (
            [revoked(Some(Revoked::Running)), vec![Event::Elapsed]].concat(),
            false,
            "join 0",
        ),
        (revoked(Some(Revoked::Unknown)), false, "write Unknown"),
        (revoked(None), false, "wait 100"),
        (revoked(None), true, "finish Unknown"),
        (vec![written()], false, "send 0"),
        (sent(SendOutcome::Refused(Reason::Full)), false, "choose"),
        (sent(SendOutcome::Unknown), false, "write Unknown"),
        (
            [sent(SendOutcome::Unknown), vec![written()]].concat(),
            false,
            "finish Unknown",
        ),
        (
            [sent(SendOutcome::Unknown), vec![down()]].concat(),
            false,
            "finish Unknown, wait 100",
        ),
        (
            [sent(SendOutcome::Unknown), vec![down(), Event::Elapsed]].concat(),
            false,
            "write Unknown",
        ),
        (
            [
                sent(SendOutcome::Unknown),
                vec![conflict(), row(0, RecordState::Done(Some(answer())))],
            ]
            .concat(),
            false,
            "finish answer",
        ),
        (answered(), false, "finish answer, write done"),
        ([answered(), vec![written()]].concat(), false, ""),
        ([answered(), vec![conflict()]].concat(), false, "read"),
        (
            [
                answered(),
                vec![conflict(), Event::Read(Err(Error::Unavailable))],
            ]
            .concat(),
            false,
            "",
        ),
        (failing(4), false, "write done"),
        ([failing(4), vec![down()]].concat(), false, ""),
    ];
    for (events, late, expected) in cases {
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
            let passed = late && index + 1 == count;
            actions = call.handle(if passed { deadline } else { now }, event);
        }
        let found: Vec<_> = actions.iter().map(describe).collect();
        assert_eq!(found.join(", "), expected, "{case}");
    }
}
