//! Requests that wait at other entries.
//!
//! Each entry queues requests itself, so an entry without a queue may give the last free slots to less
//! urgent requests while more urgent ones wait at another entry and are refused there in the end. Entries
//! therefore tell each other how many requests of each rank wait, and a slot counts as free for a rank
//! only if no more urgent request waits for it anywhere.
//!
//! The load that this answers is a burst that fills all targets of a model service for some seconds, in
//! which the requests of the least urgent rank hold slots ten times as long as the others.

use std::collections::HashMap;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

use crate::hash::{short_hash, stable_hash};

/// Requests of one rank that wait for a slot at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// The short hash of the service's name.
    pub service: u32,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The number of requests.
    pub requests: u16,
}

/// Returns the identifier of a service in messages between entries.
pub(crate) fn service_hash(service: &Name) -> u32 {
    short_hash(stable_hash(service.as_str()))
}

/// The requests that wait at the reachable entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerWaiting {
    counts: HashMap<(u32, u8), u32>,
}

impl PeerWaiting {
    /// Adds what one entry reports.
    pub(crate) fn add(&mut self, reports: &[Waiting]) {
        for report in reports {
            let count = self
                .counts
                .entry((report.service, report.rank))
                .or_default();
            *count += u32::from(report.requests);
        }
    }

    /// Returns the number of requests of a service that are more urgent than `rank`.
    pub(crate) fn count_ahead(&self, service: &Name, rank: u8) -> u32 {
        let service = service_hash(service);
        let counts = self.counts.iter();
        counts
            .filter(|((name, other), _)| *name == service && *other < rank)
            .map(|(_, requests)| requests)
            .sum()
    }
}
