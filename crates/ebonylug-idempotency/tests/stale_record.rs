//! Tests of a record that is older than the attempt history of its sidecar.

use std::time::{Duration, Instant, SystemTime};

use ebonylug_core::{Incarnation, Name, RequestId};
use ebonylug_idempotency::{
    Action, CallKey, CallOutcome, Destination, Event, JoinOutcome, KeyedCall, KeyedRequest, Record,
    RecordState, RequestHash,
};
use ebonylug_platform::{Committed, Error, Row};

fn destination() -> Destination {
    Destination {
        target: Name::new("orders-1"),
        incarnation: Incarnation(7),
    }
}

fn request(id: u128, now: Instant) -> KeyedRequest {
    KeyedRequest {
        key: CallKey::new(&Name::new("mill"), "order-17"),
        content: RequestHash::of("POST", "/orders", b"{}"),
        id: RequestId(id),
        deadline: now + Duration::from_secs(30),
    }
}

/// Returns the actions of a retry if the sidecar has not seen the attempt of a record of this age.
fn retry_actions(age: Duration) -> Vec<Action> {
    let now = Instant::now();
    let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let (_, first) = KeyedCall::start(request(1, now), destination(), now, wall);
    let [Action::Write(transaction)] = &first[..] else {
        panic!("the first action is not a write: {first:?}");
    };
    let write = &transaction.writes[0];
    let row = Row {
        key: write.key.clone(),
        version: 1,
        value: write.value.clone().expect("the record has a value"),
    };
    let record: Record = serde_json::from_str(&row.value).expect("the record is JSON");
    assert_eq!(record.state, RecordState::Reserved);

    let (mut retry, _) = KeyedCall::start(request(2, now), destination(), now, wall + age);
    let conflict = Error::Conflict {
        key: row.key.clone(),
    };
    retry.handle(now, Event::Written(Err(conflict)));
    retry.handle(now, Event::Read(Ok(Some(row))));
    let actions = retry.handle(now, Event::Joined(JoinOutcome::NotSeen));
    if let [Action::Write(_)] = &actions[..] {
        let written = Event::Written(Ok(Committed { version: 2 }));
        return retry.handle(now, written).into_vec();
    }
    actions.into_vec()
}

/// Guards against a second run: a sidecar evicts ended attempts, so that its "not seen" of an old
/// one proves nothing. Without the age limit, the retry would revoke it and run the call again.
#[test]
fn an_old_record_is_unknown_and_not_run_again() {
    let recent = retry_actions(Duration::from_secs(30));
    assert!(matches!(recent[..], [Action::Wait(_)]), "{recent:?}");
    let old = retry_actions(Duration::from_secs(61));
    assert_eq!(old, [Action::Respond(CallOutcome::Unknown)]);
}
