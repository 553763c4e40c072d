use std::collections::BTreeMap;

use ebonylug_core::Name;

/// The position of a target in the slice that was given to [`subset`].
pub type TargetIndex = usize;

/// What the choice of a subset depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// The name of the target.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// How many entries it should be in contact with, relative to other targets of its zone.
    pub weight: f64,
}

impl TargetInfo {
    /// Creates a target of weight 1.
    #[must_use]
    pub fn new(name: impl Into<Name>, zone: impl Into<Name>) -> Self {
        TargetInfo {
            name: name.into(),
            zone: zone.into(),
            weight: 1.0,
        }
    }
}

/// Chooses `size` targets for an entry, or all if there are no more; in ascending order.
///
/// Each entry chooses alone, by a weighted rendezvous hash, so a target that comes or goes
/// changes few choices, and a change of the entries changes none of the others. Every zone gets
/// its part of the size by its number of targets. The remainders of that division are settled by
/// a hash of the entry, so that over all entries no zone is preferred.
///
/// ```
/// use ebonylug_membership::{TargetInfo, subset};
///
/// let targets: Vec<TargetInfo> = (0..12)
///     .map(|n| TargetInfo::new(format!("engine-{n}").as_str(), format!("zone-{}", n % 3).as_str()))
///     .collect();
/// let chosen = subset(&"entry-1".into(), &targets, 6);
/// assert_eq!(chosen.len(), 6);
/// assert_eq!(subset(&"entry-1".into(), &targets, 40).len(), 12);
/// ```
#[must_use]
pub fn subset(entry: &Name, targets: &[TargetInfo], size: usize) -> Vec<TargetIndex> {
    if size >= targets.len() {
        return (0..targets.len()).collect();
    }
    let mut zones: BTreeMap<&Name, Vec<TargetIndex>> = BTreeMap::new();
    for (index, target) in targets.iter().enumerate() {
        zones.entry(&target.zone).or_default().push(index);
    }
    let part = size as f64 / targets.len() as f64;
    let offset = unit(&[entry.as_str()]);
    let mut chosen = Vec::with_capacity(size);
    let mut passed = 0;
    for members in zones.values() {
        // The tiny addition makes the last quota end at exactly `size`.
        let quota = |passed: usize| (part * passed as f64 + offset + 1e-9).floor() as usize;
        let first = quota(passed);
        passed += members.len();
        let count = quota(passed) - first;
        chosen.extend(best(entry, targets, members, count));
    }
    chosen.sort_unstable();
    chosen
}

fn best(
    entry: &Name,
    targets: &[TargetInfo],
    members: &[TargetIndex],
    count: usize,
) -> Vec<TargetIndex> {
    let mut scored: Vec<(f64, TargetIndex)> = members
        .iter()
        .map(|&index| (score(entry, &targets[index]), index))
        .collect();
    scored.sort_unstable_by(|a, b| {
        let names = || targets[a.1].name.cmp(&targets[b.1].name);
        b.0.total_cmp(&a.0).then_with(names)
    });
    scored.truncate(count);
    scored.into_iter().map(|(_, index)| index).collect()
}

/// The score of weighted rendezvous hashing: the chance to have the highest score is
/// proportional to the weight.
fn score(entry: &Name, target: &TargetInfo) -> f64 {
    let weight = target.weight.max(0.0);
    -weight / unit(&[entry.as_str(), target.name.as_str()]).ln()
}

/// Hashes texts to a number between 0 and 1, without both ends.
fn unit(texts: &[&str]) -> f64 {
    let mut hasher = blake3::Hasher::new();
    for text in texts {
        // The length keeps "a" + "bc" apart from "ab" + "c".
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    let mut head = [0; 8];
    hasher.finalize_xof().fill(&mut head);
    let bits = u64::from_le_bytes(head) >> 11;
    (bits as f64 + 0.5) / (1u64 << 53) as f64
}
