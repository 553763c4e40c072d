use std::collections::BTreeMap;

use ebonylug_core::Name;

/// Index of a target in the slice that is passed to [`subset`].
pub type TargetIndex = usize;

/// Properties of a target on which the choice of a subset depends.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// Name of the target, which identifies it across processes.
    pub name: Name,
    /// Availability zone of the target.
    pub zone: Name,
    /// Number of entries that connect to the target, relative to other targets of its zone.
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

/// Chooses `size` targets for an entry, or all targets if there are not more than that. Returns
/// their indices in ascending order.
///
/// Each entry chooses independently by weighted rendezvous hashing, so adding or removing a target
/// changes few choices, and adding or removing an entry does not change those of the others. The
/// size is divided among the zones in proportion to their numbers of targets. A hash of the entry
/// decides how fractions are rounded, so that no zone is preferred over all entries.
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
    let fraction = size as f64 / targets.len() as f64;
    let offset = hash_to_unit(&[entry.as_str()]);
    let mut chosen = Vec::with_capacity(size);
    let mut covered = 0;
    for members in zones.values() {
        // The small constant makes the total exactly `size` in spite of rounding errors.
        let cumulative =
            |covered: usize| (fraction * covered as f64 + offset + 1e-9).floor() as usize;
        let first = cumulative(covered);
        covered += members.len();
        let count = cumulative(covered) - first;
        chosen.extend(select_highest(entry, targets, members, count));
    }
    chosen.sort_unstable();
    chosen
}

/// Returns the `count` members with the highest scores.
fn select_highest(
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
        let by_name = || targets[a.1].name.cmp(&targets[b.1].name);
        b.0.total_cmp(&a.0).then_with(by_name)
    });
    scored.truncate(count);
    scored.into_iter().map(|(_, index)| index).collect()
}

/// Returns the score of weighted rendezvous hashing: the probability of the highest score is
/// proportional to the weight.
fn score(entry: &Name, target: &TargetInfo) -> f64 {
    let weight = target.weight.max(0.0);
    -weight / hash_to_unit(&[entry.as_str(), target.name.as_str()]).ln()
}

/// Hashes texts to a number in the open interval from 0 to 1.
fn hash_to_unit(texts: &[&str]) -> f64 {
    let mut hasher = blake3::Hasher::new();
    for text in texts {
        // The length prefix distinguishes "a" + "bc" from "ab" + "c".
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    let bits = u64::from_le_bytes(bytes) >> 11;
    (bits as f64 + 0.5) / (1u64 << 53) as f64
}
