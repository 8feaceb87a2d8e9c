//! Detection of failing upstreams from the outcomes of real requests.
//!
//! A [`Channel`] runs one CUSUM per upstream on the log-likelihood ratio of a
//! failing share of bad outcomes against the base share of the service:
//! S = max(0, S + llr), with an alarm at S ≥ h. By Wald's result an alarm takes
//! about h / K1 outcomes of a failing upstream, and a healthy one raises at most
//! one alarm in e^h outcomes.
//!
//! # Costs
//!
//! [`Channel::record`] takes constant time and allocates nothing. The state is
//! [`Evidence`], 48 bytes per upstream and channel, plus one
//! [`Latency`](latency::Latency) of about 2 KB for each class in use.

pub mod latency;

use std::time::{Duration, Instant};

/// Groups that reporting hosts are divided into, see [`Evidence`].
///
/// One host decides at most one of 8 groups, so in a large fleet the evidence
/// without a group still holds 7/8 of the outcomes.
pub const HOST_GROUPS: usize = 8;

/// Shortest age for a rate, because a shorter one would turn a single outcome
/// into a high rate.
const RATE_AGE_MIN: Duration = Duration::from_secs(1);

/// Fraction of the threshold from which an upstream is suspect. Two bad
/// outcomes in a row exceed it even at the highest threshold.
const SUSPECT_FRACTION: f64 = 0.25;

/// Shares of bad outcomes that a channel tells apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Share of bad outcomes of a failing upstream.
    pub failing: f64,
    /// Lower bound of the estimated base share.
    pub min_base: f64,
    /// Upper bound of the estimated base share.
    pub max_base: f64,
}

/// Constants of detection.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Shares for bad outcomes of a class. The base share stays at or below half
    /// of the failing one, so that the test keeps its power.
    pub class: Shares,
    /// Shares for connection failures over all classes.
    pub connect: Shares,
    /// Shares for shed requests over all classes. An upstream under overload
    /// sheds most requests and still serves some; only one that sheds nearly
    /// everything is taken for failing.
    pub shed: Shares,
    /// Expected faults of an upstream per second: one a day.
    pub faults_per_second: f64,
    /// Least threshold: one false alarm in 100 outcomes at most.
    pub min_threshold: f64,
    /// Greatest threshold: one false alarm in 10^9 outcomes at most.
    pub max_threshold: f64,
    /// Half-life of outcome counts. It is short enough to follow a change of the
    /// base share and holds some hundred outcomes of a busy upstream.
    pub half_life: Duration,
    /// Weight, in outcomes, of the assumption that an upstream has the least
    /// base share. It keeps the share of a quiet upstream from being 0 or 1.
    pub prior_outcomes: f64,
    /// Fraction of the threshold that the outcomes from other hosts must reach
    /// without any one group of hosts.
    pub confirmation_ratio: f64,
}

impl Default for Settings {
    fn default() -> Self {
        let class = Shares {
            failing: 0.3,
            min_base: 0.01,
            max_base: 0.15,
        };
        Self {
            class,
            connect: class,
            shed: Shares {
                failing: 0.99,
                min_base: 0.8,
                max_base: 0.95,
            },
            faults_per_second: 1.0 / 86_400.0,
            min_threshold: 100f64.ln(),
            max_threshold: 1e9f64.ln(),
            half_life: Duration::from_secs(30),
            prior_outcomes: 10.0,
            confirmation_ratio: 1.0 / 3.0,
        }
    }
}

/// Declared costs that a threshold weighs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Cost of ejecting a healthy upstream.
    pub false_ejection: f64,
    /// Cost of a second in which a failing upstream receives requests.
    pub detection_second: f64,
}

/// Log-likelihood ratio test of two shares of bad outcomes.
#[derive(Clone, Copy, Debug)]
pub struct LikelihoodRatio {
    bad: f64,
    good: f64,
    k1: f64,
    k0: f64,
}

impl LikelihoodRatio {
    /// Log-likelihood ratio of `failing` against `base`, both between 0 and 1.
    pub fn new(base: f64, failing: f64) -> Self {
        let bad = (failing / base).ln();
        let good = ((1.0 - failing) / (1.0 - base)).ln();
        Self {
            bad,
            good,
            k1: failing * bad + (1.0 - failing) * good,
            k0: -(base * bad + (1.0 - base) * good),
        }
    }

    /// Log-likelihood ratio of one outcome.
    pub fn step(&self, bad: bool) -> f64 {
        if bad { self.bad } else { self.good }
    }

    /// Mean step of a failing upstream.
    pub fn divergence(&self) -> f64 {
        self.k1
    }

    /// Threshold with the least cost rate C_d f h / (K1 r) + C_f r K0 e^-h for
    /// an upstream with `rate` outcomes per second.
    pub fn threshold(&self, settings: &Settings, costs: Costs, rate: f64) -> f64 {
        if costs.detection_second <= 0.0 {
            return settings.max_threshold;
        }
        let gain = costs.false_ejection * rate * rate * self.k0 * self.k1;
        (gain / (costs.detection_second * settings.faults_per_second))
            .ln()
            .max(settings.min_threshold)
            .min(settings.max_threshold)
    }
}

/// Evidence against one upstream in one channel.
///
/// `without[g]` is the same statistic over the outcomes of all hosts outside
/// group `g`. A host belongs to one group, so whatever a single host reports,
/// one entry is free of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    statistic: f32,
    without: [f32; HOST_GROUPS],
    bad: f32,
    total: f32,
    /// Whether a bad outcome took the statistic to the threshold. A threshold
    /// that falls with the rate of outcomes is no evidence by itself.
    raised: bool,
}

const _: () = assert!(
    size_of::<Evidence>() == 48,
    "the module documentation gives this size"
);

/// Outcomes of one kind over all upstreams of a service.
#[derive(Clone, Debug)]
pub struct Channel {
    shares: Shares,
    costs: Costs,
    test: LikelihoodRatio,
    base: f64,
    threshold: f64,
    started: Instant,
    refreshed: Instant,
    upstreams: Vec<Evidence>,
}

impl Channel {
    /// Channel for `upstreams` upstreams without evidence.
    pub fn new(
        settings: &Settings,
        shares: Shares,
        costs: Costs,
        upstreams: usize,
        now: Instant,
    ) -> Self {
        let test = LikelihoodRatio::new(shares.min_base, shares.failing);
        Self {
            shares,
            costs,
            test,
            base: shares.min_base,
            // Until the first refresh the rate is unknown. The greatest threshold
            // keeps all the evidence that a lower one would cut off.
            threshold: settings.max_threshold,
            started: now,
            refreshed: now,
            upstreams: vec![Evidence::default(); upstreams],
        }
    }

    /// Channel for a changed list of upstreams; `origin` gives the former index
    /// of each, if it had one.
    pub fn remapped(&self, costs: Costs, origin: &[Option<usize>]) -> Self {
        Self {
            costs,
            upstreams: origin
                .iter()
                .map(|index| index.map_or_else(Evidence::default, |i| self.upstreams[i]))
                .collect(),
            ..self.clone()
        }
    }

    /// Adds one outcome of `upstream` reported by a host of `group`.
    pub fn record(&mut self, upstream: usize, group: usize, bad: bool) {
        let step = self.test.step(bad) as f32;
        // The statistic stays within one step of the threshold, so that a held
        // alarm ends soon after the upstream recovers.
        let limit = (self.threshold + self.test.bad) as f32;
        let evidence = &mut self.upstreams[upstream];
        evidence.statistic = (evidence.statistic + step).clamp(0.0, limit);
        for (index, statistic) in evidence.without.iter_mut().enumerate() {
            if index != group {
                *statistic = (*statistic + step).clamp(0.0, limit);
            }
        }
        let reached = f64::from(evidence.statistic) >= self.threshold;
        evidence.raised = reached && (bad || evidence.raised);
        evidence.total += 1.0;
        evidence.bad += f32::from(u8::from(bad));
    }

    /// Decays the counts and recomputes base share and threshold.
    pub fn refresh(&mut self, settings: &Settings, now: Instant) {
        let half_life = settings.half_life.as_secs_f64();
        let halves = |since: Duration| (-since.as_secs_f64() / half_life).exp2();
        let decay = halves(now.saturating_duration_since(self.refreshed)) as f32;
        self.refreshed = now;
        for evidence in &mut self.upstreams {
            evidence.total *= decay;
            evidence.bad *= decay;
        }
        self.base = self.estimate(settings);
        self.test = LikelihoodRatio::new(self.base, self.shares.failing);
        let age = now
            .saturating_duration_since(self.started)
            .max(RATE_AGE_MIN);
        let window = half_life / std::f64::consts::LN_2 * (1.0 - halves(age));
        let total: f64 = self.upstreams.iter().map(|e| f64::from(e.total)).sum();
        let rate = total / window / self.upstreams.len().max(1) as f64;
        self.threshold = self.test.threshold(settings, self.costs, rate);
    }

    /// Mean share of the middle third of the upstreams, so that neither sick
    /// upstreams, up to a third of them, nor idle ones decide it.
    fn estimate(&self, settings: &Settings) -> f64 {
        let weight = settings.prior_outcomes;
        let mut shares: Vec<f64> = self
            .upstreams
            .iter()
            .map(|e| {
                (f64::from(e.bad) + self.shares.min_base * weight) / (f64::from(e.total) + weight)
            })
            .collect();
        shares.sort_unstable_by(f64::total_cmp);
        let count = shares.len();
        // Of two upstreams the better one decides.
        let high = if count > 1 { count.div_ceil(3) } else { 0 };
        let middle = &shares[count / 3..count - high];
        let mean = middle.iter().sum::<f64>() / middle.len().max(1) as f64;
        mean.max(self.shares.min_base).min(self.shares.max_base)
    }

    /// Whether bad outcomes of `upstream` have reached the threshold. Unless
    /// `lone`, other hosts must confirm the view of every group of hosts.
    pub fn is_alarmed(&self, settings: &Settings, upstream: usize, lone: bool) -> bool {
        let evidence = &self.upstreams[upstream];
        let others = evidence.without.iter().copied().fold(f32::MAX, f32::min);
        evidence.raised
            && f64::from(evidence.statistic) >= self.threshold
            && (lone || f64::from(others) >= self.threshold * settings.confirmation_ratio)
    }

    /// Whether `upstream` has more against it than one bad outcome and a quarter
    /// of the threshold.
    pub fn is_suspect(&self, upstream: usize) -> bool {
        let statistic = f64::from(self.upstreams[upstream].statistic);
        statistic > self.test.bad && statistic >= self.threshold * SUSPECT_FRACTION
    }

    /// Whether more than half of the upstreams are suspect.
    pub fn has_suspect_majority(&self) -> bool {
        let suspects = (0..self.upstreams.len())
            .filter(|&upstream| self.is_suspect(upstream))
            .count();
        2 * suspects > self.upstreams.len()
    }

    /// Statistic of `upstream` and the threshold.
    pub fn evidence(&self, upstream: usize) -> (f64, f64) {
        (
            f64::from(self.upstreams[upstream].statistic),
            self.threshold,
        )
    }

    /// Base share in use.
    pub fn base(&self) -> f64 {
        self.base
    }

    /// Threshold in use.
    pub fn threshold(&self) -> f64 {
        self.threshold
    }

    /// Declares other costs; they apply from the next refresh.
    pub fn set_costs(&mut self, costs: Costs) {
        self.costs = costs;
    }

    /// Drops the statistic of `upstream` and keeps its counts.
    pub fn reset(&mut self, upstream: usize) {
        let evidence = &mut self.upstreams[upstream];
        evidence.statistic = 0.0;
        evidence.raised = false;
        evidence.without = [0.0; HOST_GROUPS];
    }

    /// Drops the confirmations, because hosts have changed groups.
    pub fn reset_confirmations(&mut self) {
        for evidence in &mut self.upstreams {
            evidence.without = [0.0; HOST_GROUPS];
        }
    }
}
