//! Showing and changing resources through an entry of a complete deployment.

mod common;

use std::time::Duration;

use common::{CommandResult, run_at};
use ebonylug_demo::{Deployment, DeploymentOptions, FIBRAS, OPERATOR_TOKEN};
use ebonylug_standin::EngineSettings;
use ebonylugctl::Outcome;

async fn deployment() -> Deployment {
    let options = DeploymentOptions {
        resources: FIBRAS,
        entries: 2,
        engine_settings: |_| EngineSettings::default(),
        configure_sidecar: |_| {},
        seed: 1,
    };
    Deployment::start(options)
        .await
        .expect("the deployment starts")
}

async fn run(deployment: &Deployment, arguments: &[&str]) -> CommandResult {
    run_at(deployment.entry_address(0), OPERATOR_TOKEN, arguments, "").await
}

async fn apply(deployment: &Deployment, extra: &[&str], text: &str) -> CommandResult {
    let arguments = [&["apply", "-f", "-"], extra].concat();
    run_at(
        deployment.entry_address(0),
        OPERATOR_TOKEN,
        &arguments,
        text,
    )
    .await
}

/// Guards against tables that omit resources, and against unintended changes of the tables.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tables() {
    let deployment = deployment().await;
    let move_resource = r#"{kind: "Move", metadata: {name: "m"}, spec: {
        route: "assistant", from: "sisal-1", to: "sisal-2",
        start: "2100-01-01T00:00:00Z", deadline: "2100-01-02T00:00:00Z", canary: 0.01}}"#;
    let result = apply(&deployment, &[], move_resource).await;
    assert_eq!(
        (result.outcome, &*result.output),
        (Outcome::Done, "Move/m: revision 2\n")
    );
    let mut text = String::new();
    for kind in ["organisations", "tiers", "versions", "routes"] {
        let result = run(&deployment, &["get", kind]).await;
        assert_eq!(result.outcome, Outcome::Done, "{result:?}");
        text += &format!("== {kind}\n{}", result.output);
    }
    // The status depends on timing, so only the columns of the desired state are compared.
    for kind in ["zones", "targets", "moves"] {
        let result = run(&deployment, &["get", kind]).await;
        assert_eq!(result.outcome, Outcome::Done, "{result:?}");
        let width = result
            .output
            .find("STATUS")
            .expect("the table has a status column");
        let desired = result
            .output
            .lines()
            .map(|line| line[..width.min(line.len())].trim_end());
        text += &format!("== {kind}\n{}\n", desired.collect::<Vec<_>>().join("\n"));
    }
    let result = run(&deployment, &["get", "tier", "order"]).await;
    text += &format!("== tier order\n{}", result.output);
    let result = run(&deployment, &["get", "Tier", "order", "-o", "json"]).await;
    text += &format!("== tier order, JSON\n{}", result.output);
    insta::assert_snapshot!(text);
}

/// Guards against commands that do not agree with an entry on paths, bodies and status codes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes() {
    let deployment = deployment().await;
    let tier = r#"[
        // A comment.
        {kind: "Tier", metadata: {name: "late"}, spec: {class: "batch", rank: 3}},
        {kind: "Tier", metadata: {name: "order"}, spec: {class: "interactive", rank: 0, deadline: "30s"}},
    ]"#;
    let result = apply(&deployment, &["--dry-run"], tier).await;
    let printed = "Tier/late: valid, not published\nTier/order: valid, not published\n";
    assert_eq!((result.outcome, &*result.output), (Outcome::Done, printed));
    let result = run(&deployment, &["get", "tier", "late"]).await;
    assert_eq!(result.outcome, Outcome::Refused, "{result:?}");

    let result = apply(&deployment, &[], tier).await;
    let printed = "Tier/late: revision 2\nTier/order: unchanged, revision 1\n";
    assert_eq!((result.outcome, &*result.output), (Outcome::Done, printed));
    let result = run(&deployment, &["watch", "--since", "1", "--limit", "1"]).await;
    assert_eq!(result.output, "2 Tier/late class=batch rank=3\n");

    let result = run(&deployment, &["delete", "tier", "order"]).await;
    assert_eq!(result.outcome, Outcome::Refused, "{result:?}");
    assert_eq!(
        result.errors,
        "Route/orders: spec.tier: Tier \"order\" does not exist\n"
    );
    let result = run(&deployment, &["delete", "tier", "late", "--dry-run"]).await;
    assert_eq!(result.output, "Tier/late: may be deleted, not published\n");
    let result = run(&deployment, &["delete", "tier", "late"]).await;
    assert_eq!(
        (result.outcome, &*result.output),
        (Outcome::Done, "Tier/late: deleted\n")
    );
    let result = run(&deployment, &["delete", "tier", "late"]).await;
    assert_eq!(result.outcome, Outcome::Refused, "{result:?}");

    let result = run(&deployment, &["drain", "canas-b"]).await;
    assert_eq!(
        (result.outcome, &*result.output),
        (Outcome::Done, "canas-b is drained with revision 4\n")
    );
    let result = run(&deployment, &["get", "zone", "canas-b"]).await;
    assert!(result.output.contains("drained"), "{result:?}");
    let result = run(&deployment, &["restore", "canas-b"]).await;
    assert_eq!(result.outcome, Outcome::Done, "{result:?}");

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
    let move_command = [&later[..], &["m"]].concat();
    assert_eq!(run(&deployment, &move_command).await.outcome, Outcome::Done);
    let result = run(&deployment, &move_command).await;
    assert_eq!(result.outcome, Outcome::Conflict, "{result:?}");
    let result = run(
        &deployment,
        &["move", "assistant", "sisal-2", "--by", "1h", "--name", "n"],
    )
    .await;
    assert_eq!(result.outcome, Outcome::Refused, "{result:?}");
    assert_eq!(
        result.errors,
        "Move/n: spec.route: move \"m\" is active on the same route\n"
    );
    let result = run(&deployment, &["quarantine", "list"]).await;
    assert_eq!((result.outcome, &*result.output), (Outcome::Done, ""));

    let result = run_at(
        deployment.entry_address(0),
        "other-token",
        &["get", "tiers"],
        "",
    )
    .await;
    assert_eq!(result.outcome, Outcome::Denied, "{result:?}");
}

/// Guards against a wait that misses the end of a move at a real entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_for_a_cancelled_move() {
    let deployment = deployment().await;
    let move_command = [
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
    let wait = [&move_command[..], &["--wait"]].concat();
    let cancel = async {
        let json = loop {
            let result = run(&deployment, &["get", "move", "m", "-o", "json"]).await;
            if result.outcome == Outcome::Done {
                break result.output;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        let cancelled = json.replace("\"active\"", "\"cancelled\"");
        apply(&deployment, &[], &cancelled).await
    };
    let (waited, cancelled) = tokio::join!(run(&deployment, &wait), cancel);
    assert_eq!(cancelled.outcome, Outcome::Done, "{cancelled:?}");
    assert_eq!(waited.outcome, Outcome::RolledBack, "{waited:?}");
}

/// Guards against messages that do not contain the file and the position of an error.
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
        let result = run_at(unused, "token", &["apply", "-f", "-"], text).await;
        assert_eq!(result.outcome, Outcome::Refused, "{result:?}");
        assert!(result.errors.contains(reason), "{result:?}");
    }
    let result = run_at(unused, "token", &["apply", "--file", "/nowhere.json5"], "").await;
    assert_eq!(result.outcome, Outcome::Refused);
    assert!(result.errors.contains("/nowhere.json5"), "{result:?}");
}
