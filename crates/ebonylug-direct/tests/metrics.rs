//! What an entry shows to whoever collects metrics.

mod common;

use std::collections::BTreeSet;

use common::{Act, Scripted, World, answer, get, run, status, success};

/// Guards against metrics that are renamed, and against labels whose number grows with organisations,
/// requests or targets.
#[test]
fn names_and_labels() {
    run(async {
        let script = vec![
            Act::Send(success("r1", "a")),
            Act::Send(answer("r2", "503 Unavailable", "x-not-run: 1\r\n", "")),
            Act::Close(String::new()),
        ];
        let target = Scripted::start("engine-1", script).await;
        let world = World::start(&[&target]).await;
        assert_eq!(status(&world.call(&get("safe", "r1")).await), 200);
        assert_eq!(status(&world.call(&get("once", "r2")).await), 503);
        assert_eq!(status(&world.call(&get("once", "r3")).await), 502);
        world.entry.count_store_call("op", "read", "answered");
        world.entry.count_store_call("entries", "write", "failed");
        let page = world.entry.metrics(3);
        let series = page.lines().filter(|line| !line.starts_with('#'));
        let names = series.filter_map(|line| Some(line.rsplit_once(' ')?.0));
        // Bounds of histograms are left out.
        let names: BTreeSet<&str> = names.filter(|name| !name.contains("_bucket")).collect();
        insta::assert_snapshot!(names.into_iter().collect::<Vec<_>>().join("\n"));
    });
}
