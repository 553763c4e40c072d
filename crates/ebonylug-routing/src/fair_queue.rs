use std::collections::{BTreeMap, BTreeSet, HashMap};

use ebonylug_core::Tokens;

use crate::queue::BatchPosition;
use crate::{OrganisationKey, RequestKey};

/// Fractions of a token in virtual time, so that weights divide without much rounding.
const UNITS_PER_TOKEN: u64 = 1_024;

/// Shares batch capacity between organisations by tokens: start-time fair queueing.
///
/// Each organisation has a virtual start time, which advances by the cost of its requests
/// divided by its weight. The one that is furthest behind goes first, however large or small
/// its requests are.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Virtual start time of the request that was served last.
    virtual_time: u64,
    flows: HashMap<OrganisationKey, Flow>,
    /// Organisations that have requests waiting, by start time.
    active: BTreeSet<(u64, OrganisationKey)>,
    /// Organisations without waiting requests that are ahead of virtual time.
    idle: BTreeSet<(u64, OrganisationKey)>,
}

#[derive(Debug, Default)]
struct Flow {
    start: u64,
    waiting: BTreeMap<BatchPosition, RequestKey>,
}

impl FairQueue {
    pub(crate) fn insert(
        &mut self,
        org: OrganisationKey,
        position: BatchPosition,
        key: RequestKey,
    ) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(org).or_default();
        if flow.waiting.is_empty() {
            self.idle.remove(&(flow.start, org));
            flow.start = flow.start.max(virtual_time);
            self.active.insert((flow.start, org));
        }
        flow.waiting.insert(position, key);
    }

    pub(crate) fn remove(&mut self, org: OrganisationKey, position: BatchPosition) {
        let Some(flow) = self.flows.get_mut(&org) else {
            return;
        };
        flow.waiting.remove(&position);
        if flow.waiting.is_empty() && self.active.remove(&(flow.start, org)) {
            self.idle.insert((flow.start, org));
        }
        self.remove_idle();
    }

    /// Charges an organisation for a request that is being sent and has been removed.
    pub(crate) fn charge(&mut self, org: OrganisationKey, cost: Tokens, weight: u32) {
        let first = self.active.first().map_or(u64::MAX, |&(start, _)| start);
        let start = self
            .flows
            .get(&org)
            .map_or(self.virtual_time, |flow| flow.start);
        self.virtual_time = self.virtual_time.max(first.min(start));
        self.adjust_start(org, |start| {
            start.saturating_add(virtual_cost(cost, weight))
        });
        self.remove_idle();
    }

    /// Takes back a charge for work that was not done.
    pub(crate) fn refund(&mut self, org: OrganisationKey, cost: Tokens, weight: u32) {
        self.adjust_start(org, |start| {
            start.saturating_sub(virtual_cost(cost, weight))
        });
    }

    /// Returns the first request of each organisation, in fair order, and then the others.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = RequestKey> + '_ {
        let waiting = |(_, org): &(u64, OrganisationKey)| self.flows[org].waiting.values();
        let first = self
            .active
            .iter()
            .flat_map(move |flow| waiting(flow).take(1));
        let others = self
            .active
            .iter()
            .flat_map(move |flow| waiting(flow).skip(1));
        first.chain(others).copied()
    }

    fn adjust_start(&mut self, org: OrganisationKey, change: impl FnOnce(u64) -> u64) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(org).or_insert_with(|| Flow {
            start: virtual_time,
            waiting: BTreeMap::new(),
        });
        let set = if flow.waiting.is_empty() {
            &mut self.idle
        } else {
            &mut self.active
        };
        set.remove(&(flow.start, org));
        flow.start = change(flow.start);
        set.insert((flow.start, org));
    }

    /// Forgets organisations that would start at virtual time anyway.
    fn remove_idle(&mut self) {
        while let Some(&(start, org)) = self.idle.first() {
            if start > self.virtual_time {
                break;
            }
            self.idle.pop_first();
            self.flows.remove(&org);
        }
    }
}

fn virtual_cost(cost: Tokens, weight: u32) -> u64 {
    cost.0.saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}
