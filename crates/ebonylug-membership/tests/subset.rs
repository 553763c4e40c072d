//! Spread and movement of subsets.
#![allow(missing_docs)]

use std::collections::BTreeSet;

use ebonylug_core::Name;
use ebonylug_membership::{TargetInfo, subset};

const SIZE: usize = 40;

fn targets(count: usize, zones: usize) -> Vec<TargetInfo> {
    let target = |n: usize| {
        let name = format!("engine-{n}");
        TargetInfo::new(name.as_str(), format!("zone-{}", n % zones).as_str())
    };
    (0..count).map(target).collect()
}

fn entry(n: usize) -> Name {
    Name::new(&format!("entry-{n}"))
}

fn names(entry: &Name, targets: &[TargetInfo], size: usize) -> BTreeSet<Name> {
    let chosen = subset(entry, targets, size);
    chosen
        .iter()
        .map(|index| targets[*index].name.clone())
        .collect()
}

/// Guards against targets without entries, and against entries that depend on one zone.
#[test]
fn subsets_cover_targets_and_zones_evenly() {
    let targets = targets(600, 8);
    let mut load = vec![0u32; targets.len()];
    for n in 0..410 {
        let chosen = subset(&entry(n), &targets, SIZE);
        assert_eq!(chosen.len(), SIZE);
        assert!(chosen.is_sorted_by(|a, b| a < b));
        let mut zones = [0; 8];
        for index in chosen {
            load[index] += 1;
            zones[index % 8] += 1;
        }
        assert_eq!(zones, [5; 8]);
    }
    let mean = 410.0 * SIZE as f64 / 600.0;
    let (min, max) = (load.iter().min(), load.iter().max());
    println!("entries per target: {min:?} to {max:?}, mean {mean:.1}");
    // Independent choices have a deviation of about the root of the mean; four of them bound all
    // 600 targets.
    let bound = 4.0 * mean.sqrt();
    assert!(load.iter().all(|l| (f64::from(*l) - mean).abs() < bound));
}

/// Guards against a size that does not divide by the zones, and uneven zones.
#[test]
fn every_size_is_exact() {
    for (count, zones) in [(21, 3), (13, 4), (100, 7), (5, 5), (1, 1), (0, 1)] {
        let targets = targets(count, zones);
        for size in 0..=count + 2 {
            for n in 0..20 {
                let chosen = subset(&entry(n), &targets, size);
                assert_eq!(chosen.len(), size.min(count), "{count} {zones} {size}");
            }
        }
    }
}

/// Guards against a change that makes entries reconnect to targets that did not change.
#[test]
fn little_moves_when_a_target_comes_or_goes() {
    let all = targets(600, 8);
    let mut fewer = all.clone();
    let gone = fewer.remove(123).name;
    let mut moved = 0;
    let mut entries = 0;
    for n in 0..410 {
        let before = names(&entry(n), &all, SIZE);
        let after = names(&entry(n), &fewer, SIZE);
        let lost = before
            .difference(&after)
            .filter(|name| **name != gone)
            .count();
        moved += lost;
        entries += usize::from(lost > 0);
        assert!(lost <= 2, "entry {n} lost {lost}");
    }
    // The parts of the zones shift by 1/600 of the size each, which moves about one choice in
    // every few entries.
    println!("{moved} unforced moves at {entries} of 410 entries");
    assert!(moved < 410 / 2);
}

/// Guards against an order of the targets, which differs between processes, that matters.
#[test]
fn the_order_of_targets_does_not_matter() {
    let targets = targets(100, 3);
    let mut reversed = targets.clone();
    reversed.reverse();
    for n in 0..50 {
        assert_eq!(
            names(&entry(n), &targets, 17),
            names(&entry(n), &reversed, 17)
        );
    }
}

/// Guards against weights without effect.
#[test]
fn heavier_targets_get_more_entries() {
    let mut targets = targets(60, 1);
    targets[7].weight = 3.0;
    targets[8].weight = 0.0;
    let mut load = vec![0; 60];
    for n in 0..2_000 {
        for index in subset(&entry(n), &targets, 6) {
            load[index] += 1;
        }
    }
    let usual = load[20..].iter().sum::<i32>() / 40;
    assert!(
        (2..4).contains(&(load[7] / usual)),
        "{} of {usual}",
        load[7]
    );
    assert_eq!(load[8], 0);
}
