use ebonylug_core::Name;

/// Chooses the processes that read the head row every second.
///
/// The choice is a rendezvous hash: all processes with the same view of the instances agree, and
/// when one instance goes, only its own place is given to another.
#[must_use]
pub fn select_pollers(instances: &[Name], count: usize) -> Vec<Name> {
    let mut ranked: Vec<_> = instances.iter().map(|name| (weight(name), name)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked
        .into_iter()
        .take(count)
        .map(|(_, name)| name.clone())
        .collect()
}

fn weight(name: &Name) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(b"config poller ");
    hasher.update(name.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
