//! Collects the events of all processes for operators.

use std::net::SocketAddr;

use futures_util::StreamExt;
use serde::Serialize;

use ebonylug_core::Name;
use ebonylug_events::{Event, Page};
use ebonylug_net::rpc::{EntryLink, SidecarLink};
use ebonylug_platform::InstanceRow;

use crate::Shared;

/// Maximum number of events fetched from each process.
const MAX_EVENTS: usize = 4_096;
/// Maximum number of concurrent requests to other processes.
const MAX_CONCURRENT: usize = 32;

/// The events of all processes, one list for each.
#[derive(Debug, Default, Serialize)]
pub struct CollectedEvents {
    /// One list of events per process.
    pub lists: Vec<Vec<Event>>,
    /// The instances that did not respond, sorted by name.
    pub unreachable: Vec<Name>,
}

/// Fetches the events of every instance in the instance list.
pub async fn collect(shared: &Shared) -> CollectedEvents {
    let mut collected = CollectedEvents::default();
    collected
        .lists
        .push(shared.recorder.since(0, MAX_EVENTS).events);
    let instances = shared.fleet.rows().into_iter();
    let instances = instances.filter(|row| row.instance != shared.settings.instance);
    let mut responses = futures_util::stream::iter(instances)
        .map(|row| async {
            let page = fetch_events(shared, &row).await;
            (row.instance, page)
        })
        .buffer_unordered(MAX_CONCURRENT);
    while let Some((instance, page)) = responses.next().await {
        match page {
            Some(page) => collected.lists.push(page.events),
            None => collected.unreachable.push(instance),
        }
    }
    collected.unreachable.sort();
    collected
}

async fn fetch_events(shared: &Shared, row: &InstanceRow) -> Option<Page> {
    let address: SocketAddr = row.control.parse().ok()?;
    let key = shared.settings.key.clone();
    let page = match row.target {
        Some(_) => SidecarLink::new(address, key).events(0, MAX_EVENTS).await,
        None => EntryLink::new(address, key).events(0, MAX_EVENTS).await,
    };
    page.ok()
}
