use std::collections::{BTreeMap, BTreeSet, HashMap};

use ebonylug_core::Tokens;

use crate::queue::BatchPosition;
use crate::{OrganisationKey, RequestKey};

/// Units of virtual time per token. Sub-token units keep the rounding error small when costs are
/// divided by weights.
const UNITS_PER_TOKEN: u64 = 1_024;

/// Start-time fair queueing of batch requests between organisations, by tokens.
///
/// Each organisation has a virtual start time, which advances by the cost of its requests
/// divided by its weight. The organisation with the lowest start time goes first, whatever the
/// size of its requests.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Virtual start time of the request that was dispatched last.
    virtual_time: u64,
    flows: HashMap<OrganisationKey, Flow>,
    /// Organisations with waiting requests, by start time.
    active: BTreeSet<(u64, OrganisationKey)>,
    /// Organisations without waiting requests whose start time is after the virtual time.
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

    /// Charges an organisation for a dispatched request, which has already been removed.
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

    /// Refunds the cost of work that did not run.
    pub(crate) fn refund(&mut self, org: OrganisationKey, cost: Tokens, weight: u32) {
        self.adjust_start(org, |start| {
            start.saturating_sub(virtual_cost(cost, weight))
        });
    }

    /// Returns the first request of each organisation in fair order, then the remaining ones.
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

    /// Removes idle organisations whose start time is not after the virtual time: they would start
    /// at the virtual time anyway.
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
