//! Showing and changing resources at the entry of a whole deployment.

mod common;

use std::time::Duration;

use common::{Ran, run_at};
use ebonylug_demo::{Deployment, FIBRAS, OPERATOR_TOKEN, Plan};
use ebonylug_standin::EngineSettings;
use ebonylugctl::Outcome;

async fn deployment() -> Deployment {
    let plan = Plan {
        resources: FIBRAS,
        entries: 2,
        engine: |_| EngineSettings::default(),
        sidecar: |_| {},
        seed: 1,
    };
    Deployment::start(plan)
        .await
        .expect("the deployment starts")
}

async fn at(deployment: &Deployment, arguments: &[&str]) -> Ran {
    run_at(deployment.entry(0), OPERATOR_TOKEN, arguments, "").await
}

async fn apply(deployment: &Deployment, extra: &[&str], text: &str) -> Ran {
    let arguments = [&["apply", "-f", "-"], extra].concat();
    run_at(deployment.entry(0), OPERATOR_TOKEN, &arguments, text).await
}

/// Guards against tables that leave out resources or change without intention, at a real entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tables() {
    let deployment = deployment().await;
    let planned = r#"{kind: "Move", metadata: {name: "m"}, spec: {
        route: "assistant", from: "sisal-1", to: "sisal-2",
        start: "2100-01-01T00:00:00Z", deadline: "2100-01-02T00:00:00Z", canary: 0.01}}"#;
    let ran = apply(&deployment, &[], planned).await;
    assert_eq!(
        (ran.outcome, &*ran.output),
        (Outcome::Done, "Move/m: revision 2\n")
    );
    let mut text = String::new();
    for kind in ["organisations", "tiers", "versions", "routes"] {
        let ran = at(&deployment, &["get", kind]).await;
        assert_eq!(ran.outcome, Outcome::Done, "{ran:?}");
        text += &format!("== {kind}\n{}", ran.output);
    }
    // The status depends on the time, so only the desired state is compared.
    for kind in ["zones", "targets", "moves"] {
        let ran = at(&deployment, &["get", kind]).await;
        assert_eq!(ran.outcome, Outcome::Done, "{ran:?}");
        let width = ran.output.find("STATUS").expect("there is a status");
        let desired = ran
            .output
            .lines()
            .map(|line| line[..width.min(line.len())].trim_end());
        text += &format!("== {kind}\n{}\n", desired.collect::<Vec<_>>().join("\n"));
    }
    let ran = at(&deployment, &["get", "tier", "order"]).await;
    text += &format!("== tier order\n{}", ran.output);
    let ran = at(&deployment, &["get", "Tier", "order", "-o", "json"]).await;
    text += &format!("== tier order, JSON\n{}", ran.output);
    insta::assert_snapshot!(text);
}

/// Guards against commands and an entry that do not agree on paths, bodies and statuses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes() {
    let deployment = deployment().await;
    let tier = r#"[
        // A comment.
        {kind: "Tier", metadata: {name: "late"}, spec: {class: "batch", rank: 3}},
        {kind: "Tier", metadata: {name: "order"}, spec: {class: "interactive", rank: 0, deadline: "30s"}},
    ]"#;
    let ran = apply(&deployment, &["--dry-run"], tier).await;
    let shown = "Tier/late: valid, not published\nTier/order: valid, not published\n";
    assert_eq!((ran.outcome, &*ran.output), (Outcome::Done, shown));
    let ran = at(&deployment, &["get", "tier", "late"]).await;
    assert_eq!(ran.outcome, Outcome::Refused, "{ran:?}");

    let ran = apply(&deployment, &[], tier).await;
    let shown = "Tier/late: revision 2\nTier/order: unchanged, revision 1\n";
    assert_eq!((ran.outcome, &*ran.output), (Outcome::Done, shown));
    let ran = at(&deployment, &["watch", "--since", "1", "--limit", "1"]).await;
    assert_eq!(ran.output, "2 Tier/late class=batch rank=3\n");

    let ran = at(&deployment, &["delete", "tier", "order"]).await;
    assert_eq!(ran.outcome, Outcome::Refused, "{ran:?}");
    assert_eq!(
        ran.errors,
        "Route/orders: spec.tier: Tier \"order\" does not exist\n"
    );
    let ran = at(&deployment, &["delete", "tier", "late", "--dry-run"]).await;
    assert_eq!(ran.output, "Tier/late: may be deleted, not published\n");
    let ran = at(&deployment, &["delete", "tier", "late"]).await;
    assert_eq!(
        (ran.outcome, &*ran.output),
        (Outcome::Done, "Tier/late: deleted\n")
    );
    let ran = at(&deployment, &["delete", "tier", "late"]).await;
    assert_eq!(ran.outcome, Outcome::Refused, "{ran:?}");

    let ran = at(&deployment, &["drain", "canas-b"]).await;
    assert_eq!(
        (ran.outcome, &*ran.output),
        (Outcome::Done, "canas-b is drained with revision 4\n")
    );
    let ran = at(&deployment, &["get", "zone", "canas-b"]).await;
    assert!(ran.output.contains("drained"), "{ran:?}");
    let ran = at(&deployment, &["restore", "canas-b"]).await;
    assert_eq!(ran.outcome, Outcome::Done, "{ran:?}");

    let later = [
        "move",
        "assistant",
        "sisal-2",
        "--start",
        "2h",
        "--by",
        "3h",
        "--name",
    ];
    let planned = [&later[..], &["m"]].concat();
    assert_eq!(at(&deployment, &planned).await.outcome, Outcome::Done);
    let ran = at(&deployment, &planned).await;
    assert_eq!(ran.outcome, Outcome::Conflict, "{ran:?}");
    let ran = at(
        &deployment,
        &["move", "assistant", "sisal-2", "--by", "1h", "--name", "n"],
    )
    .await;
    assert_eq!(ran.outcome, Outcome::Refused, "{ran:?}");
    assert_eq!(
        ran.errors,
        "Move/n: spec.route: move \"m\" is active on the same route\n"
    );
    let ran = at(&deployment, &["quarantine", "list"]).await;
    assert_eq!((ran.outcome, &*ran.output), (Outcome::Done, ""));

    let ran = run_at(deployment.entry(0), "other-token", &["get", "tiers"], "").await;
    assert_eq!(ran.outcome, Outcome::Denied, "{ran:?}");
}

/// Guards against a wait that does not see the end of a move at a real entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_for_a_cancelled_move() {
    let deployment = deployment().await;
    let planned = [
        "move",
        "assistant",
        "sisal-2",
        "--start",
        "2h",
        "--by",
        "3h",
        "--name",
        "m",
    ];
    let wait = [&planned[..], &["--wait"]].concat();
    let cancel = async {
        let found = loop {
            let ran = at(&deployment, &["get", "move", "m", "-o", "json"]).await;
            if ran.outcome == Outcome::Done {
                break ran.output;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        let cancelled = found.replace("\"active\"", "\"cancelled\"");
        apply(&deployment, &[], &cancelled).await
    };
    let (waited, cancelled) = tokio::join!(at(&deployment, &wait), cancel);
    assert_eq!(cancelled.outcome, Outcome::Done, "{cancelled:?}");
    assert_eq!(waited.outcome, Outcome::RolledBack, "{waited:?}");
}

/// Guards against files whose errors cannot be found.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn files_with_errors() {
    let unused = "127.0.0.1:1".parse().unwrap();
    let cases = [
        (
            "{\n  kind: 'Tier',\n  metadata: {name: 'x'},\n  spec: {class: 'fast', rank: 0}}",
            "-: line 4",
        ),
        ("[", "-: line 1"),
        ("[]", "-: there is no resource"),
    ];
    for (text, reason) in cases {
        let ran = run_at(unused, "token", &["apply", "-f", "-"], text).await;
        assert_eq!(ran.outcome, Outcome::Refused, "{ran:?}");
        assert!(ran.errors.contains(reason), "{ran:?}");
    }
    let ran = run_at(unused, "token", &["apply", "--file", "/nowhere.json5"], "").await;
    assert_eq!(ran.outcome, Outcome::Refused);
    assert!(ran.errors.contains("/nowhere.json5"), "{ran:?}");
}
