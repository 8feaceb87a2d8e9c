//! TCP relay whose directions can be frozen or closed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use clap::{Arg, Command, value_parser};
use dotterelhinge_standin::{program, relay, socket};
use serde_json::json;

fn main() -> io::Result<()> {
    let address_argument = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("ADDRESS")
            .value_parser(value_parser!(SocketAddr))
            .required(true)
            .help(help)
    };
    let matches = Command::new("standin-relay")
        .about("Relays TCP connections; its directions can be frozen or closed")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(address_argument(
            "listen",
            "Address to accept connections on",
        ))
        .arg(address_argument("control", "Address of the control API"))
        .arg(
            Arg::new("to")
                .long("to")
                .value_name("ADDRESS")
                .required(true)
                .help("Address to connect to"),
        )
        .get_matches();
    program::start_log();
    let bind = |name: &str| {
        let address = matches.get_one::<SocketAddr>(name).copied();
        socket::bind(address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))))
    };
    let listener = bind("listen")?;
    let control = bind("control")?;
    let address = listener.local_addr()?;
    let to = matches.get_one::<String>("to").cloned().unwrap_or_default();
    let ready = json!({
        "listening": address,
        "control": control.local_addr()?,
        "to": to,
    });
    actix_rt::System::new().block_on(async {
        let relay = Arc::new(relay::Relay::new(address, to));
        let control = relay::run_control(control, Arc::clone(&relay))?;
        let handle = control.handle();
        actix_rt::spawn(control);
        actix_rt::spawn(async move {
            if let Err(error) = relay.serve(listener).await {
                log::error!("{error}");
            }
        });
        program::print_ready(&ready)?;
        program::wait_for_termination().await?;
        handle.stop(false).await;
        Ok(())
    })
}
