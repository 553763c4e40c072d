//! Prints the distribution of the number of entries per target over the subsets of all entries.
//!
//! Usage: `cargo run --release -p ebonylug-membership --example spread`

use ebonylug_core::Name;
use ebonylug_membership::{TargetInfo, subset};

fn main() {
    for (entries, targets, zones, size) in [(410, 600, 8, 40), (4, 21, 3, 40), (4, 13, 4, 40)] {
        let infos: Vec<TargetInfo> = (0..targets)
            .map(|n| {
                let name = format!("engine-{n}");
                TargetInfo::new(name.as_str(), format!("zone-{}", n % zones).as_str())
            })
            .collect();
        let mut load = vec![0u32; targets];
        for n in 0..entries {
            let entry = Name::new(&format!("entry-{n}"));
            for index in subset(&entry, &infos, size) {
                load[index] += 1;
            }
        }
        let sum: u32 = load.iter().sum();
        let mean = f64::from(sum) / targets as f64;
        let square: f64 = load.iter().map(|l| (f64::from(*l) - mean).powi(2)).sum();
        let deviation = (square / targets as f64).sqrt();
        let (min, max) = (load.iter().min(), load.iter().max());
        println!(
            "{entries} x {targets}, subset {size}: entries per target min {} mean {mean:.1} max {} \
             deviation {deviation:.1}",
            min.expect("there are targets"),
            max.expect("there are targets"),
        );
    }
}
