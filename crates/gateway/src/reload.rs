//! Reloads settings while the daemon runs.

use std::{rc::Rc, time::Duration};

use tokio::signal::unix::Signal;

use crate::{
    host::Host,
    settings::{Reloadable, Settings, Source},
};

/// Interval between checks whether the settings changed without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings at each hang-up signal and after each change.
pub(crate) async fn run(host: Rc<Host>, source: Rc<dyn Source>, mut hangups: Signal) {
    let mut fingerprint = source.fingerprint();
    loop {
        tokio::select! {
            _ = hangups.recv() => fingerprint = source.fingerprint(),
            () = tokio::time::sleep(CHECK_INTERVAL) => {
                let now = source.fingerprint();
                if now == fingerprint {
                    continue;
                }
                fingerprint = now;
            }
        }
        match source.load() {
            Ok(settings) => adopt(&host, &settings),
            Err(error) => {
                log::error!(event = "reload_refused", error = format!("{error:?}"); "changed settings can't be loaded; the current ones stay in force");
            }
        }
    }
}

/// Puts the reloadable settings in force and logs whether others differ from
/// the running ones, which takes a restart.
fn adopt(host: &Host, settings: &Settings) {
    let fixed = Settings {
        reloadable: Reloadable::default(),
        ..settings.clone()
    };
    let running = Settings {
        reloadable: Reloadable::default(),
        ..host.settings.clone()
    };
    let changed = *host.reloadable() != settings.reloadable;
    *host.reloadable.borrow_mut() = Rc::new(settings.reloadable.clone());
    log::info!(event = "reloaded", changed = changed, needs_restart = fixed != running; "settings reloaded");
}
