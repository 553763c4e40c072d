//! The whole path over real sockets: caller, entry, sidecar, target and back.

use ebonylug_demo::{Caller, Deployment, FIBRAS, Plan};
use ebonylug_standin::{Engine, EngineSettings};

fn engine() -> EngineSettings {
    EngineSettings {
        scale: 0.01,
        ..EngineSettings::default()
    }
}

async fn fibras() -> Deployment {
    let plan = Plan {
        resources: FIBRAS,
        entries: 2,
        engine: |_| engine(),
        seed: 1,
    };
    Deployment::start(plan)
        .await
        .expect("the deployment starts")
}

/// Guards against a path that loses or changes parts of an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_are_those_of_the_target() {
    let deployment = fibras().await;
    let direct = Engine::start(EngineSettings {
        models: vec!["sisal".into()],
        version: "sisal-1".into(),
        ..engine()
    })
    .expect("the engine starts");
    let direct = Caller::new(direct.addr, "");
    for entry in 0..2 {
        let caller = Caller::new(deployment.entry(entry), "fibras-demo-token");
        for stream in [false, true] {
            let prompt = format!("{entry} {stream}: a quotation for 40 m of rope");
            let answer = caller.chat("sisal", "quotation", &prompt, 24, stream).await;
            let answer = answer.expect("an answer arrives");
            let expected = direct.chat("sisal", "quotation", &prompt, 24, stream).await;
            let expected = expected.expect("the target answers");
            assert_eq!(answer.status, expected.status);
            assert_eq!(answer.text(), expected.text());
        }
    }
}
