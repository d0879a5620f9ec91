//! Zones and racks by number. Each name is stored only once, and the zones of two seats are compared by their numbers.

use std::collections::HashMap;
use std::sync::Arc;

use crate::list::RegionId;

/// Number of a zone. Zones are numbered in the order in which the member list first names them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ZoneId(pub u16);

/// Number of a rack. Racks are numbered in the order in which the member list first names them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RackId(pub u16);

#[derive(Clone, Debug)]
struct Zone {
    region: RegionId,
    name: Arc<str>,
}

#[derive(Clone, Debug)]
struct Rack {
    zone: ZoneId,
    name: Arc<str>,
}

/// The zones and racks of a member list. There are never more zones, or more racks, than seats.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domains {
    zones: Vec<Zone>,
    racks: Vec<Rack>,
    zone_ids: HashMap<(RegionId, Arc<str>), ZoneId>,
    rack_ids: HashMap<(ZoneId, Arc<str>), RackId>,
}

impl Domains {
    /// Returns the number of a rack; assigns the next one if the rack is new.
    pub(crate) fn intern(&mut self, region: RegionId, zone: &str, rack: &str) -> RackId {
        let zone = self.intern_zone(region, zone);
        let name: Arc<str> = rack.into();
        *self.rack_ids.entry((zone, name.clone())).or_insert_with(|| {
            self.racks.push(Rack { zone, name });
            RackId((self.racks.len() - 1) as u16)
        })
    }

    fn intern_zone(&mut self, region: RegionId, zone: &str) -> ZoneId {
        let name: Arc<str> = zone.into();
        *self.zone_ids.entry((region, name.clone())).or_insert_with(|| {
            self.zones.push(Zone { region, name });
            ZoneId((self.zones.len() - 1) as u16)
        })
    }

    pub(crate) fn zone(&self, rack: RackId) -> ZoneId {
        self.racks[usize::from(rack.0)].zone
    }

    pub(crate) fn region(&self, zone: ZoneId) -> RegionId {
        self.zones[usize::from(zone.0)].region
    }

    pub(crate) fn zone_name(&self, zone: ZoneId) -> &str {
        &self.zones[usize::from(zone.0)].name
    }

    pub(crate) fn rack_name(&self, rack: RackId) -> &str {
        &self.racks[usize::from(rack.0)].name
    }
}
