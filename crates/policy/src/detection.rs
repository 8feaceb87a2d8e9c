//! Detection of failing upstreams from the outcomes of real requests.
//!
//! A [`Channel`] runs one CUSUM test per upstream on the log-likelihood ratio
//! (`llr`) between two shares of bad outcomes: that of a failing upstream and
//! the base share of the service. The statistic is S = max(0, S + llr), with an
//! alarm at S ≥ h. By Wald's approximation, a failing upstream raises an alarm
//! after about h / K1 outcomes, where K1 is its mean llr, and a healthy one
//! raises at most one false alarm in e^h outcomes.
//!
//! # Costs
//!
//! [`Channel::record`] takes constant time and allocates nothing. The state is
//! [`Evidence`], 48 bytes per upstream and channel, plus one
//! [`Latency`](latency::Latency) of about 2 KB for each class in use.

pub mod latency;

use std::time::{Duration, Instant};

/// Number of groups that the reporting hosts are divided into, see
/// [`Evidence`].
///
/// A host belongs to one group, so in a large fleet the evidence without any
/// one of the 8 groups still covers 7/8 of the outcomes.
pub const HOST_GROUPS: usize = 8;

/// Minimum observation time for computing a rate. Over a shorter time a single
/// outcome would give a high rate.
const MIN_RATE_AGE: Duration = Duration::from_secs(1);

/// Fraction of the alarm threshold at which an upstream becomes suspect. Two bad
/// outcomes in a row exceed it even at the maximum threshold.
const SUSPECT_RATIO: f64 = 0.25;

/// Shares of bad outcomes that a channel distinguishes, between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Share of bad outcomes of a failing upstream.
    pub failing: f64,
    /// Lower bound of the estimated base share.
    pub min_base: f64,
    /// Upper bound of the estimated base share.
    pub max_base: f64,
}

/// Parameters of detection.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Shares of bad outcomes within a class. The base share is at most half of
    /// the failing share, so that the test keeps its statistical power.
    pub class: Shares,
    /// Shares of connection failures over all classes.
    pub connect: Shares,
    /// Shares of shed requests over all classes. An overloaded upstream sheds
    /// most requests but still serves some; only one that sheds nearly every
    /// request counts as failing.
    pub shed: Shares,
    /// Expected faults per second of one upstream. The default is one a day.
    pub faults_per_second: f64,
    /// Minimum alarm threshold. The default allows at most one false alarm in
    /// 100 outcomes.
    pub min_threshold: f64,
    /// Maximum alarm threshold. The default allows at most one false alarm in
    /// 10^9 outcomes.
    pub max_threshold: f64,
    /// Half-life of the outcome counts. The default is short enough to follow
    /// changes of the base share, and covers some hundred outcomes of a busy
    /// upstream.
    pub half_life: Duration,
    /// Weight, in outcomes, of the prior that an upstream has the minimum base
    /// share. It keeps the estimate for an upstream with few outcomes away from
    /// 0 and 1.
    pub prior_outcomes: f64,
    /// Fraction of the threshold that the statistic must reach with any one
    /// group of hosts left out.
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

/// Configured costs that determine the alarm threshold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Cost of ejecting a healthy upstream.
    pub false_ejection: f64,
    /// Cost of each second during which a failing upstream receives requests.
    pub detection_second: f64,
}

/// Log-likelihood ratio of two shares of bad outcomes.
#[derive(Clone, Copy, Debug)]
pub struct LikelihoodRatio {
    bad_step: f64,
    good_step: f64,
    /// Mean step at the failing share, K1.
    failing_divergence: f64,
    /// Negated mean step at the base share, K0.
    base_divergence: f64,
}

impl LikelihoodRatio {
    /// Creates the ratio of `failing` to `base`, both shares above 0 and below 1.
    pub fn new(base: f64, failing: f64) -> Self {
        let bad_step = (failing / base).ln();
        let good_step = ((1.0 - failing) / (1.0 - base)).ln();
        Self {
            bad_step,
            good_step,
            failing_divergence: failing * bad_step + (1.0 - failing) * good_step,
            base_divergence: -(base * bad_step + (1.0 - base) * good_step),
        }
    }

    /// Returns the log-likelihood ratio of one outcome.
    pub fn step(&self, bad: bool) -> f64 {
        if bad { self.bad_step } else { self.good_step }
    }

    /// Returns the mean step of a failing upstream, K1.
    pub fn divergence(&self) -> f64 {
        self.failing_divergence
    }

    /// Returns the threshold h that minimizes the cost per second
    /// C_d f h / (K1 r) + C_f r K0 e^-h of an upstream, within the bounds of
    /// `settings`.
    ///
    /// C_d is the cost of a second of detection, C_f that of a false ejection,
    /// f the number of faults per second and r the `rate` of outcomes per
    /// second.
    pub fn threshold(&self, settings: &Settings, costs: Costs, rate: f64) -> f64 {
        if costs.detection_second <= 0.0 {
            return settings.max_threshold;
        }
        let gain =
            costs.false_ejection * rate * rate * self.base_divergence * self.failing_divergence;
        (gain / (costs.detection_second * settings.faults_per_second))
            .ln()
            .max(settings.min_threshold)
            .min(settings.max_threshold)
    }
}

/// Evidence against one upstream in one channel.
///
/// `without_group[g]` is the same statistic over the outcomes of all hosts
/// outside group `g`. A host belongs to one group, so one entry is not affected
/// by what a given host reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    statistic: f32,
    without_group: [f32; HOST_GROUPS],
    bad: f32,
    total: f32,
    /// Whether a bad outcome raised the statistic to the threshold. A threshold
    /// that falls to the statistic because the rate of outcomes falls is not
    /// evidence of a failure.
    is_triggered: bool,
}

const _: () = assert!(
    size_of::<Evidence>() == 48,
    "the module documentation gives this size"
);

/// Failure test over the outcomes of one kind, for all upstreams of a service.
#[derive(Clone, Debug)]
pub struct Channel {
    shares: Shares,
    costs: Costs,
    likelihood: LikelihoodRatio,
    base: f64,
    threshold: f64,
    started: Instant,
    refreshed: Instant,
    upstreams: Vec<Evidence>,
}

impl Channel {
    /// Creates a channel for a number of `upstreams` without evidence.
    pub fn new(
        settings: &Settings,
        shares: Shares,
        costs: Costs,
        upstreams: usize,
        now: Instant,
    ) -> Self {
        let likelihood = LikelihoodRatio::new(shares.min_base, shares.failing);
        Self {
            shares,
            costs,
            likelihood,
            base: shares.min_base,
            // The rate is unknown until the first refresh. The maximum threshold
            // retains evidence that a lower one would cap.
            threshold: settings.max_threshold,
            started: now,
            refreshed: now,
            upstreams: vec![Evidence::default(); upstreams],
        }
    }

    /// Returns the channel for a changed list of upstreams. `origin` has the
    /// former index of each upstream, or `None` for a new one.
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

    /// Adds an outcome of `upstream` that a host in `group` reported.
    pub fn record(&mut self, upstream: usize, group: usize, bad: bool) {
        let step = self.likelihood.step(bad) as f32;
        // The statistic is limited to one step above the threshold, so that an
        // alarm that did not lead to an ejection ends soon after the upstream
        // recovers.
        let limit = (self.threshold + self.likelihood.bad_step) as f32;
        let evidence = &mut self.upstreams[upstream];
        evidence.statistic = (evidence.statistic + step).clamp(0.0, limit);
        for (index, statistic) in evidence.without_group.iter_mut().enumerate() {
            if index != group {
                *statistic = (*statistic + step).clamp(0.0, limit);
            }
        }
        let reached = f64::from(evidence.statistic) >= self.threshold;
        evidence.is_triggered = reached && (bad || evidence.is_triggered);
        evidence.total += 1.0;
        evidence.bad += f32::from(u8::from(bad));
    }

    /// Decays the counts and recomputes the base share and the threshold.
    ///
    /// Costs a sort of the upstreams.
    pub fn refresh(&mut self, settings: &Settings, now: Instant) {
        let half_life = settings.half_life.as_secs_f64();
        let decay_over = |since: Duration| (-since.as_secs_f64() / half_life).exp2();
        let decay = decay_over(now.saturating_duration_since(self.refreshed)) as f32;
        self.refreshed = now;
        for evidence in &mut self.upstreams {
            evidence.total *= decay;
            evidence.bad *= decay;
        }
        self.base = self.estimate_base(settings);
        self.likelihood = LikelihoodRatio::new(self.base, self.shares.failing);
        let age = now
            .saturating_duration_since(self.started)
            .max(MIN_RATE_AGE);
        let window = half_life / std::f64::consts::LN_2 * (1.0 - decay_over(age));
        let total: f64 = self.upstreams.iter().map(|e| f64::from(e.total)).sum();
        let rate = total / window / self.upstreams.len().max(1) as f64;
        self.threshold = self.likelihood.threshold(settings, self.costs, rate);
    }

    /// Returns the mean share of the middle third of the upstreams. Neither idle
    /// upstreams nor failing ones, if they are at most a third, affect it.
    fn estimate_base(&self, settings: &Settings) -> f64 {
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
        // With two upstreams, only the one with the lower share counts.
        let high = if count > 1 { count.div_ceil(3) } else { 0 };
        let middle = &shares[count / 3..count - high];
        let mean = middle.iter().sum::<f64>() / middle.len().max(1) as f64;
        mean.max(self.shares.min_base).min(self.shares.max_base)
    }

    /// Returns whether bad outcomes raised the statistic of `upstream` to the
    /// threshold. Unless `is_single_host`, the evidence without any one group of
    /// hosts must confirm it.
    pub fn is_alarmed(&self, settings: &Settings, upstream: usize, is_single_host: bool) -> bool {
        let evidence = &self.upstreams[upstream];
        let others = evidence
            .without_group
            .iter()
            .copied()
            .fold(f32::MAX, f32::min);
        evidence.is_triggered
            && f64::from(evidence.statistic) >= self.threshold
            && (is_single_host || f64::from(others) >= self.threshold * settings.confirmation_ratio)
    }

    /// Returns whether the statistic of `upstream` exceeds the step of one bad
    /// outcome and is at least a quarter of the threshold.
    pub fn is_suspect(&self, upstream: usize) -> bool {
        let statistic = f64::from(self.upstreams[upstream].statistic);
        statistic > self.likelihood.bad_step && statistic >= self.threshold * SUSPECT_RATIO
    }

    /// Returns whether more than half of the upstreams are suspect.
    pub fn has_suspect_majority(&self) -> bool {
        let suspects = (0..self.upstreams.len())
            .filter(|&upstream| self.is_suspect(upstream))
            .count();
        2 * suspects > self.upstreams.len()
    }

    /// Returns the statistic of `upstream` and the threshold.
    pub fn evidence(&self, upstream: usize) -> (f64, f64) {
        (
            f64::from(self.upstreams[upstream].statistic),
            self.threshold,
        )
    }

    /// Returns the current base share.
    pub fn base(&self) -> f64 {
        self.base
    }

    /// Returns the current threshold.
    pub fn threshold(&self) -> f64 {
        self.threshold
    }

    /// Sets the costs. They apply from the next refresh.
    pub fn set_costs(&mut self, costs: Costs) {
        self.costs = costs;
    }

    /// Clears the statistics of `upstream`, but not its outcome counts.
    pub fn reset(&mut self, upstream: usize) {
        let evidence = &mut self.upstreams[upstream];
        evidence.statistic = 0.0;
        evidence.is_triggered = false;
        evidence.without_group = [0.0; HOST_GROUPS];
    }

    /// Clears the statistics without each group, for when hosts have changed
    /// groups.
    pub fn reset_confirmations(&mut self) {
        for evidence in &mut self.upstreams {
            evidence.without_group = [0.0; HOST_GROUPS];
        }
    }
}
