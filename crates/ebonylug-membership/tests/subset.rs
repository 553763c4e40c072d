//! Distribution and stability of subsets.
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

/// Guards against targets that few entries choose, and against entries that depend on one zone.
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
    // The standard deviation of independent choices is about the square root of the mean. Four
    // standard deviations bound all 600 targets.
    let bound = 4.0 * mean.sqrt();
    assert!(load.iter().all(|l| (f64::from(*l) - mean).abs() < bound));
}

/// Guards against a wrong total if the size is not a multiple of the number of zones, or if the
/// zones differ in size.
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

/// Guards against the removal of one target that makes entries replace their other targets.
#[test]
fn removing_a_target_changes_few_choices() {
    let all = targets(600, 8);
    let mut fewer = all.clone();
    let removed = fewer.remove(123).name;
    let mut changed = 0;
    let mut entries = 0;
    for n in 0..410 {
        let before = names(&entry(n), &all, SIZE);
        let after = names(&entry(n), &fewer, SIZE);
        let replaced = before
            .difference(&after)
            .filter(|name| **name != removed)
            .count();
        changed += replaced;
        entries += usize::from(replaced > 0);
        assert!(replaced <= 2, "entry {n} replaced {replaced}");
    }
    // The share of each zone shifts by 1/600 of the size, which changes about one choice in every
    // few entries.
    println!("{changed} unnecessary changes in {entries} of 410 entries");
    assert!(changed < 410 / 2);
}

/// Guards against a choice that depends on the order of the targets, which differs between
/// processes.
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

/// Guards against weights that have no effect on the choice.
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
