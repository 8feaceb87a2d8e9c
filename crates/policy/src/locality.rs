//! Decides which share of a host's requests may leave its availability zone.
//!
//! Answers this load pattern: demand in each zone swings by half within some
//! seconds, each zone with its own phase, and servers and callers are not in
//! proportion, while every request that crosses zones costs a part of its value.
//!
//! The share follows from the load of the zone's sound backend servers alone. It
//! is zero while they have room, and rises in proportion up to 1, at which the
//! requests of the zone are spread over all zones evenly. There is no memory
//! and no threshold that switches: a response in proportion to a load that is
//! known some milliseconds late settles, where a switch would oscillate.

use crate::selection::{Candidate, Settings};

/// Load of a zone from which its requests begin to leave it. Above, the requests
/// that arrive within the delay of the reports find a server without free slot.
const SPILL_LOAD: f64 = 0.55;

/// Load of a zone at which its requests are spread over all zones. It is below 1
/// because slots that become free are known late.
const SPREAD_LOAD: f64 = 0.85;

/// Load of the sound backend servers inside and outside of a host's zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Expected number of sound servers in the zone.
    pub sound: f64,
    /// Slots in use in the zone, relative to the slots of its sound servers.
    pub own: f64,
    /// As `own`, in all other zones together.
    pub others: f64,
    /// Whether there are servers in the zone, and in others.
    pub has_choice: bool,
}

impl Load {
    /// Returns the load of `candidates`. Each counts by the probability that it is
    /// not in an outage.
    pub fn of(settings: &Settings, candidates: &[Candidate]) -> Self {
        let mut sound = 0.0;
        let mut counts = [0_usize; 2];
        let mut in_use = [0.0; 2];
        let mut slots = [0.0; 2];
        for candidate in candidates {
            let zone = usize::from(!candidate.is_same_zone);
            let weight = 1.0 - candidate.outage_probability;
            counts[zone] += 1;
            in_use[zone] += weight * candidate.in_use;
            slots[zone] += weight * candidate.slots;
            if candidate.is_same_zone {
                // A server that is not suspected counts whole.
                sound += (weight / (1.0 - settings.suspect_threshold)).min(1.0);
            }
        }
        let ratio = |zone: usize| in_use[zone] / slots[zone].max(f64::MIN_POSITIVE);
        Self {
            sound,
            own: ratio(0),
            others: ratio(1),
            has_choice: counts.iter().all(|count| *count > 0),
        }
    }

    /// Returns the share of requests that may leave the zone.
    pub fn leave_share(&self, settings: &Settings) -> f64 {
        if !self.has_choice {
            return 1.0;
        }
        // Another zone with as much load would only send its requests here.
        let floor = self.others.max(SPILL_LOAD);
        let by_load = (self.own - floor) / (SPREAD_LOAD - SPILL_LOAD);
        let by_count = 1.0 - self.sound / settings.same_zone_threshold.max(1) as f64;
        by_load.max(by_count).clamp(0.0, 1.0)
    }
}
