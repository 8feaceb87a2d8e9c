//! Log lines for changes of upstream health. Their keys are stable.

use dotterelhinge_policy::{contract, health::Change};

/// Logs one line for a change, with the values that led to it.
pub(crate) fn log_change(
    service: &contract::Service,
    classes: &[contract::Class],
    change: &Change,
) {
    let upstream_name = |upstream: usize| service.upstreams[upstream].name.to_string();
    let class_name = |class: usize| classes[class].name.to_string();
    let name = service.name.to_string();
    let floor = service.floor;
    match change {
        Change::Ejected {
            upstream,
            class,
            evidence,
            healthy,
        } => {
            log::warn!(event = "ejected", service = name, upstream = upstream_name(*upstream), class = class_name(*class),
                statistic = evidence.0, threshold = evidence.1, healthy = healthy, floor = floor;
                "upstream ejected for a class");
        }
        Change::UpstreamEjected {
            upstream,
            cause,
            evidence,
            healthy,
        } => {
            log::warn!(event = "ejected", service = name, upstream = upstream_name(*upstream), cause = format!("{cause:?}"),
                statistic = evidence.0, threshold = evidence.1, healthy = healthy, floor = floor;
                "upstream ejected for all classes");
        }
        Change::FloorHeld { upstream, class } => {
            log::warn!(event = "floor_held", service = name, upstream = upstream_name(*upstream), class = class_name(*class), floor = floor;
                "ejection prevented by the floor");
        }
        Change::UpstreamFloorHeld { upstream } => {
            log::warn!(event = "floor_held", service = name, upstream = upstream_name(*upstream), floor = floor;
                "ejection for all classes prevented by the floor");
        }
        Change::Trial { upstream, class } => {
            log::info!(event = "trial", service = name, upstream = upstream_name(*upstream), class = class_name(*class);
                "trial requests for a class begin");
        }
        Change::UpstreamTrial { upstream } => {
            log::info!(event = "trial", service = name, upstream = upstream_name(*upstream); "trial requests begin");
        }
        Change::Readmitted { upstream, class } => {
            log::info!(event = "readmitted", service = name, upstream = upstream_name(*upstream), class = class_name(*class);
                "upstream readmitted, serves the class again");
        }
        Change::UpstreamReadmitted { upstream } => {
            log::info!(event = "readmitted", service = name, upstream = upstream_name(*upstream);
                "upstream readmitted, serves all classes again");
        }
        Change::Leaving { upstream } => {
            log::info!(event = "upstream_leaving", service = name, upstream = upstream_name(*upstream);
                "upstream is leaving and receives no new requests");
        }
    }
}

/// Returns a short description of a change for operators.
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
