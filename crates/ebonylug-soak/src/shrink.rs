use crate::schedule::Schedule;

/// Drops events from a failing schedule for as long as it still fails. `fails` runs a schedule and reports whether it
/// fails.
///
/// Drops halves first, then smaller ranges, down to single events.
///
/// ```
/// use std::time::Duration;
/// use ebonylug_soak::{Fault, Schedule, shrink};
///
/// let schedule = Schedule::draw(3, Duration::from_secs(20));
/// let cause = schedule.events[5];
/// let small = shrink(schedule, |schedule| schedule.events.contains(&cause));
/// assert_eq!(small.events, [cause]);
/// ```
pub fn shrink(mut schedule: Schedule, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut size = schedule.events.len().div_ceil(2);
    while size > 0 {
        let mut start = 0;
        while start < schedule.events.len() {
            let mut smaller = schedule.clone();
            let end = (start + size).min(smaller.events.len());
            smaller.events.drain(start..end);
            if fails(&smaller) {
                schedule = smaller;
            } else {
                start = end;
            }
        }
        size /= 2;
    }
    schedule
}
