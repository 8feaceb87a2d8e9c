//! Processor time and memory of a process, from `/proc`.

use std::{fs, time::Duration};

use nix::{time::clock_getcpuclockid, unistd::Pid};

/// Unit of the times in `/proc/<pid>/stat`. The kernel converts to 100 a
/// second for programs on every architecture that this project builds for.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu: f64,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Most resident memory that it has had, in bytes.
    pub peak: u64,
}

/// Processor seconds, user and system, of a `/proc/<pid>/stat` line.
pub fn cpu(stat: &str) -> Option<f64> {
    // The program name is in parentheses and may itself hold some.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) as f64 / TICKS_PER_SECOND)
}

/// Resident bytes of a `/proc/<pid>/status` text.
pub fn resident(status: &str) -> Option<u64> {
    bytes(status, "VmRSS:")
}

/// Bytes in the line of a `/proc/<pid>/status` text that begins with `name`.
fn bytes(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes * 1024)
}

/// What the process has used so far, or `None` once it has ended.
pub fn read(process: u32) -> Option<Usage> {
    let file = |name: &str| fs::read_to_string(format!("/proc/{process}/{name}")).ok();
    let status = file("status")?;
    Some(Usage {
        cpu: cpu(&file("stat")?)?,
        resident: resident(&status)?,
        peak: bytes(&status, "VmHWM:")?,
    })
}

/// Returns the processor time that the process has used so far, more exactly than
/// [`Usage::cpu`], or `None` once it has ended.
pub fn processor_time(process: u32) -> Option<Duration> {
    let clock = clock_getcpuclockid(Pid::from_raw(process.try_into().ok()?)).ok()?;
    clock.now().ok().map(Duration::from)
}

/// Load averages of the machine over 1, 5 and 15 minutes.
pub fn load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .take(3)
        .collect::<Vec<_>>()
        .join(" ")
}
