use ebonylug_core::Name;

/// Selects the `count` processes that poll the head row every second, by rendezvous hashing.
///
/// All processes with the same list of instances agree on the selection, and the removal of an
/// instance changes only its own slot.
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
