//! Changes of upstream health as log lines with stable field names.

use dotterelhinge_policy::{contract, health::Change};

/// Writes one line for a change, with its figures.
pub(crate) fn log_change(
    service: &contract::Service,
    classes: &[contract::Class],
    change: &Change,
) {
    let at = |upstream: usize| service.upstreams[upstream].name.to_string();
    let of = |class: usize| classes[class].name.to_string();
    let name = service.name.to_string();
    let floor = service.floor;
    match change {
        Change::Ejected {
            upstream,
            class,
            evidence,
            healthy,
        } => {
            log::warn!(event = "ejected", service = name, upstream = at(*upstream), class = of(*class),
                statistic = evidence.0, threshold = evidence.1, healthy = healthy, floor = floor;
                "upstream ejected for a class");
        }
        Change::UpstreamEjected {
            upstream,
            cause,
            evidence,
            healthy,
        } => {
            log::warn!(event = "ejected", service = name, upstream = at(*upstream), cause = format!("{cause:?}"),
                statistic = evidence.0, threshold = evidence.1, healthy = healthy, floor = floor;
                "upstream ejected for all classes");
        }
        Change::FloorHeld { upstream, class } => {
            log::warn!(event = "floor_held", service = name, upstream = at(*upstream), class = of(*class), floor = floor;
                "ejection prevented by the floor");
        }
        Change::UpstreamFloorHeld { upstream } => {
            log::warn!(event = "floor_held", service = name, upstream = at(*upstream), floor = floor;
                "ejection for all classes prevented by the floor");
        }
        Change::Trial { upstream, class } => {
            log::info!(event = "trial", service = name, upstream = at(*upstream), class = of(*class);
                "trial requests of a class begin");
        }
        Change::UpstreamTrial { upstream } => {
            log::info!(event = "trial", service = name, upstream = at(*upstream); "trial requests begin");
        }
        Change::Readmitted { upstream, class } => {
            log::info!(event = "readmitted", service = name, upstream = at(*upstream), class = of(*class);
                "upstream serves a class again");
        }
        Change::UpstreamReadmitted { upstream } => {
            log::info!(event = "readmitted", service = name, upstream = at(*upstream);
                "upstream serves all classes again");
        }
        Change::Leaving { upstream } => {
            log::info!(event = "upstream_leaving", service = name, upstream = at(*upstream);
                "upstream receives no new requests");
        }
    }
}

/// A change in a few words, for operators.
pub(crate) fn describe(change: &Change) -> String {
    match change {
        Change::Ejected { evidence, .. } => {
            format!("failures: {:.1} of {:.1}", evidence.0, evidence.1)
        }
        Change::UpstreamEjected {
            cause, evidence, ..
        } => format!("{cause:?}: {:.1} of {:.1}", evidence.0, evidence.1).to_lowercase(),
        Change::FloorHeld { .. } | Change::UpstreamFloorHeld { .. } => "held by the floor".into(),
        Change::Trial { .. } | Change::UpstreamTrial { .. } => "trial".into(),
        Change::Readmitted { .. } | Change::UpstreamReadmitted { .. } => "readmitted".into(),
        Change::Leaving { .. } => "leaving".into(),
    }
}
