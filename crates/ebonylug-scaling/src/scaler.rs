use std::collections::BTreeMap;
use std::time::Instant;

use ebonylug_core::Name;
use smallvec::SmallVec;

use crate::load::{Load, ZoneState};
use crate::order::{Answer, Order, Orders};
use crate::spec::{Result, ServiceSpec};
use crate::zone::Zone;

/// Decides how many targets each service needs in each zone.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    services: BTreeMap<Name, Service>,
}

#[derive(Clone, Debug)]
struct Service {
    spec: ServiceSpec,
    zones: BTreeMap<Name, Zone>,
}

impl Scaler {
    /// Adds a service, or replaces its specification. What is known of its zones is kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the specification is contradictory. The one before it then stays in force.
    pub fn set_service(&mut self, service: Name, spec: ServiceSpec) -> Result<()> {
        spec.check()?;
        let mut known = match self.services.remove(&service) {
            Some(before) => before.zones,
            None => BTreeMap::new(),
        };
        let zones = spec.zones.iter().map(|name| {
            let zone = known.remove(name).unwrap_or_default();
            (name.clone(), zone)
        });
        let zones = zones.collect();
        self.services.insert(service, Service { spec, zones });
        Ok(())
    }

    /// Removes a service. Its targets stay as they are.
    pub fn remove_service(&mut self, service: &Name) {
        self.services.remove(service);
    }

    /// Records the load of a service in a zone. Times must not decrease. Unknown services and zones, and loads
    /// that include too few entries, are ignored.
    pub fn observe(
        &mut self,
        now: Instant,
        service: &Name,
        zone: &Name,
        state: ZoneState,
        load: Load,
    ) {
        let Some(Service { spec, zones }) = self.services.get_mut(service) else {
            return;
        };
        let Some(observed) = zones.get_mut(zone) else {
            return;
        };
        let Some(lost) = observed.observe(now, spec, state, load) else {
            return;
        };
        let until = now + spec.lead_time();
        let is_serving = |zone: &Zone| zone.state == ZoneState::Serving;
        let count = zones.values().filter(|zone| is_serving(zone)).count();
        tracing::info!(part = "scaling", %service, %zone, ?state, demand = lost, zones = count, "load of a zone goes to others");
        for other in zones.values_mut().filter(|zone| is_serving(zone)) {
            other.add_lost(now, lost / count as f64, until);
        }
    }

    /// Records an order that another process has sent at this time, so that its targets count. Without it,
    /// there is no order for a zone until the targets that may have been ordered have booted.
    pub fn restore_order(&mut self, order: &Order, at: Instant) {
        if let Some(zone) = self.zone_mut(order) {
            zone.restore(order.desired, at);
        }
    }

    /// Records the answer to an order. An order that is not known to be in force is sent again.
    pub fn record_answer(&mut self, order: &Order, answer: Answer) {
        if let Some(zone) = self.zone_mut(order) {
            zone.record_answer(order.desired, answer);
        }
    }

    fn zone_mut(&mut self, order: &Order) -> Option<&mut Zone> {
        let service = self.services.get_mut(&order.service)?;
        service.zones.get_mut(&order.zone)
    }

    /// Returns the orders to send now.
    pub fn decide(&mut self, now: Instant) -> Orders {
        let mut orders = Orders::new();
        for (name, service) in &mut self.services {
            // The load of a zone that is not observed may have gone to the others.
            if !service.zones.values().all(|zone| zone.is_fresh(now)) {
                continue;
            }
            let wanted = service.wanted(now);
            for ((zone_name, zone), desired) in service.zones.iter_mut().zip(wanted) {
                let Some(desired) = desired else {
                    continue;
                };
                if zone.order(now, desired, &service.spec) {
                    tracing::info!(part = "scaling", service = %name, zone = %zone_name, desired, "targets ordered");
                    orders.push(Order {
                        service: name.clone(),
                        zone: zone_name.clone(),
                        desired,
                    });
                }
            }
        }
        orders
    }
}

impl Service {
    /// Returns the number of targets of each zone within the limits. What exceeds the maximum of a zone is
    /// divided among the serving zones that have room.
    fn wanted(&mut self, now: Instant) -> SmallVec<[Option<u32>; 8]> {
        let ServiceSpec {
            min_replicas: min,
            max_replicas: max,
            ..
        } = self.spec;
        let mut excess = 0;
        let zones = self.zones.values_mut();
        let mut wanted: SmallVec<[Option<u32>; 8]> = zones
            .map(|zone| {
                let wanted = zone.update_wanted(now, &self.spec)?;
                excess += wanted.saturating_sub(max);
                Some(wanted.clamp(min, max))
            })
            .collect();
        let serving: SmallVec<[bool; 8]> = self
            .zones
            .values()
            .map(|zone| zone.state == ZoneState::Serving)
            .collect();
        while excess > 0 {
            let room = wanted.iter_mut().zip(&serving);
            let room = room.filter_map(|(number, serving)| number.as_mut().filter(|_| *serving));
            let Some(least) = room.filter(|number| **number < max).min() else {
                break;
            };
            *least += 1;
            excess -= 1;
        }
        wanted
    }
}
