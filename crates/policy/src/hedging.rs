//! Decides when a second attempt of a repeatable request starts while the first
//! one is still running.
//!
//! The load pattern: a backend server that hangs, or has become slow, holds a
//! request until its deadline, which is only a few times the typical latency of
//! the service away. With 270 ms and a deadline of 1,200 ms, a second attempt
//! after four times the typical latency has 120 ms left and is answered too late.
//! Among servers that are merely slow the first attempt often answers soon, so it
//! is not cancelled in favour of the second one.
//!
//! A second attempt is extra load. Where all slots are in use it displaces a first
//! attempt, so none starts while the service sheds requests or has few free slots.
//! There a late first attempt is given up in favour of the second one, at the age
//! that does not depend on the deadline: tests of suspected servers rely on another
//! attempt.

use std::time::Duration;

/// Parameters of the decision. Ratios are relative to the typical latency of the
/// service.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Age of the first attempt at which the second one starts if the deadline
    /// leaves time enough.
    pub age_ratio: f64,
    /// As `age_ratio`, if the first attempt is on a suspected backend server.
    pub suspect_age_ratio: f64,
    /// Time that the second attempt should have until the deadline: twice the
    /// typical latency covers nearly all answers of a healthy server.
    pub answer_ratio: f64,
    /// Time below which the second attempt would hardly be answered. Answers vary
    /// around the typical latency, and the connection takes a round trip.
    pub min_answer_ratio: f64,
    /// Minimum age of the first attempt at which it is later than usual.
    pub min_age_ratio: f64,
    /// Share of shed attempts from which the service counts as overloaded. One in
    /// twenty shows that a free slot is not found at once.
    pub max_shed_ratio: f64,
    /// Share of slots in use from which the service counts as overloaded.
    pub max_occupancy: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            age_ratio: 4.0,
            suspect_age_ratio: 2.5,
            answer_ratio: 2.0,
            min_answer_ratio: 1.25,
            min_age_ratio: 1.75,
            max_shed_ratio: 0.05,
            max_occupancy: 0.9,
        }
    }
}

/// The first attempt, as of when it was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// Typical latency of the service.
    pub typical: Duration,
    /// Whether its backend server was suspected.
    pub is_suspect: bool,
    /// Time from then until the deadline of the request.
    pub left: Duration,
}

impl Attempt {
    /// Returns the age at which the second attempt starts; `None` if it could not
    /// be answered before the deadline.
    pub fn hedge_age(&self, settings: &Settings) -> Option<Duration> {
        let latest = self
            .left
            .saturating_sub(self.typical.mul_f64(settings.answer_ratio));
        let earliest = self.typical.mul_f64(settings.min_age_ratio);
        let age = latest.max(earliest).min(self.replacement_age(settings));
        (age <= self.last_hedge_age(settings)).then_some(age)
    }

    /// Returns the age at which the first attempt is given up in favour of a second
    /// one, while the service has no room for both.
    pub fn replacement_age(&self, settings: &Settings) -> Duration {
        self.typical.mul_f64(if self.is_suspect {
            settings.suspect_age_ratio
        } else {
            settings.age_ratio
        })
    }

    /// Returns the age after which no second attempt starts, since it could not be
    /// answered any more.
    pub fn last_hedge_age(&self, settings: &Settings) -> Duration {
        self.left
            .saturating_sub(self.typical.mul_f64(settings.min_answer_ratio))
    }
}

/// Load of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Recent share of attempts that were shed, from 0 to 1.
    pub shed_ratio: f64,
    /// Requests in flight at the available backend servers.
    pub in_use: f64,
    /// Slots of these servers.
    pub slots: f64,
}

impl Load {
    /// Returns whether the service has room for second attempts.
    pub fn allows_hedges(&self, settings: &Settings) -> bool {
        self.shed_ratio < settings.max_shed_ratio
            && self.in_use < self.slots * settings.max_occupancy
    }
}
