//! Latencies of the old version.

use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_moves::LatencyBaselines;

/// Guards against thresholds that come from the first responses only, which a few fast targets may have given,
/// so that a good version on slower targets looks slow.
#[test]
fn thresholds_follow_responses_after_the_first_ones() {
    let route = Name::new("route");
    let mut baselines = LatencyBaselines::default();
    let is_slow = |baselines: &LatencyBaselines, ms| {
        let thresholds = baselines.get(&route)?;
        Some(thresholds.is_slow(Duration::from_millis(ms), None))
    };
    for _ in 0..49 {
        baselines.record(&route, Duration::from_millis(10), None);
    }
    assert_eq!(is_slow(&baselines, 40), None);
    baselines.record(&route, Duration::from_millis(10), None);
    assert_eq!(is_slow(&baselines, 40), Some(true));
    for _ in 0..50 {
        baselines.record(&route, Duration::from_millis(40), None);
    }
    assert_eq!(is_slow(&baselines, 40), Some(false));
    assert_eq!(is_slow(&baselines, 80), Some(true));
}
