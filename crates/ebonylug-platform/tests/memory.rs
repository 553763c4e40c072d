//! Tests of the in-memory fake, which tests of other crates use.

use ebonylug_platform::{Error, Expect, Fault, MemoryPlatform, Table, Transaction};

fn put(value: &str) -> Transaction {
    Transaction::new().put("a", value)
}

async fn value(platform: &MemoryPlatform) -> Option<String> {
    let row = platform.get("a").await.unwrap();
    row.map(|row| row.value.into())
}

/// Guards against transactions that are applied in part, or although a condition does not hold.
#[tokio::test]
async fn conditions() {
    let platform = MemoryPlatform::new();
    let first = platform.transact(put("1")).await.unwrap().version;
    let cases = [
        (Expect::Absent, Some("a"), "1"),
        (Expect::Version(first + 1), Some("a"), "1"),
        (Expect::Version(first), None, "2"),
        (Expect::Version(first), Some("a"), "2"),
    ];
    for (expect, conflict, after) in cases {
        let transaction = put("2").expect("b", Expect::Absent).expect("a", expect);
        let result = platform.transact(transaction).await.err();
        let conflict = conflict.map(|key| Error::Conflict { key: key.into() });
        assert_eq!(
            (result, &*value(&platform).await.unwrap()),
            (conflict, after)
        );
    }
    let delete = Transaction::new().delete("a");
    platform.transact(delete).await.unwrap();
    assert_eq!(value(&platform).await, None);
}

/// Guards against faults that apply a write that should be lost, or lose one that should be
/// applied.
#[tokio::test]
async fn faults() {
    let cases = [
        (Fault::None, None, true),
        (Fault::Unavailable, Some(Error::Unavailable), false),
        (Fault::DropResponse, Some(Error::Unknown), true),
        (Fault::DropRequest, Some(Error::Unknown), false),
    ];
    for (fault, error, applied) in cases {
        let platform = MemoryPlatform::new();
        platform.inject([Fault::None, fault]);
        assert_eq!(platform.get("a").await, Ok(None));
        assert_eq!(platform.transact(put("x")).await.err(), error, "{fault:?}");
        assert_eq!(value(&platform).await.is_some(), applied, "{fault:?}");
        platform.set_down(true);
        assert_eq!(platform.get("a").await, Err(Error::Unavailable));
    }
}
