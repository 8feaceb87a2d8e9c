//! Stand-in of backend servers with injected faults.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use dotterelhinge_standin::backend::{control, listener, record, server};
use dotterelhinge_standin::{program, socket};
use serde_json::json;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("standin-backend")
        .about("Runs many backend servers in one process")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .required(true)
                .help(
                    "Address of server 0; server i uses port + i; with port 0 all use free ports",
                ),
        )
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .required(true)
                .help("Address of the control API"),
        )
        .arg(number("count", "30", "Number of servers"))
        .arg(number(
            "slots",
            "3",
            "Requests that run at once on a server",
        ))
        .arg(number("connections", "400", "Connections per server"))
        .arg(number("service-ms", "30", "Mean service time, in ms"))
        .arg(number(
            "probe-ms",
            "25",
            "Time that a health probe takes, in ms",
        ))
        .arg(number(
            "connect-ms",
            "0",
            "Delay of a new connection, in ms",
        ))
        .arg(number(
            "seed",
            "1",
            "Seed of service times and fault shares",
        ))
        .arg(
            Arg::new("distribution")
                .long("distribution")
                .value_parser(["exponential", "fixed"])
                .default_value("exponential")
                .help("Distribution of service times"),
        )
        .arg(
            Arg::new("honour-deadlines")
                .long("honour-deadlines")
                .action(ArgAction::SetTrue)
                .help("Abandon a request when its x-deadline-ms has passed"),
        )
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

fn count(matches: &ArgMatches, name: &str) -> usize {
    usize::try_from(number(matches, name)).unwrap_or(usize::MAX)
}

fn address(matches: &ArgMatches, name: &str) -> SocketAddr {
    matches
        .get_one(name)
        .copied()
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn bind(first: SocketAddr, index: usize) -> io::Result<TcpListener> {
    let mut address = first;
    if first.port() != 0 {
        let port = u16::try_from(index)
            .ok()
            .and_then(|index| first.port().checked_add(index))
            .ok_or_else(|| io::Error::other("the port range exceeds 65535"))?;
        address.set_port(port);
    }
    socket::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("cannot bind {address}: {error}")))
}

fn main() -> io::Result<()> {
    let matches = command().get_matches();
    program::start_log();
    let settings = Arc::new(server::Settings {
        slots: count(&matches, "slots"),
        connections: count(&matches, "connections"),
        service_time: Duration::from_millis(number(&matches, "service-ms")),
        distribution: match matches
            .get_one::<String>("distribution")
            .map(String::as_str)
        {
            Some("fixed") => server::Distribution::Fixed,
            _ => server::Distribution::Exponential,
        },
        probe_time: Duration::from_millis(number(&matches, "probe-ms")),
        connect_delay: Duration::from_millis(number(&matches, "connect-ms")),
        honours_deadlines: matches.get_flag("honour-deadlines"),
    });
    let record = Arc::new(record::Record::new(Instant::now()));
    let listen = address(&matches, "listen");
    let bound = (0..count(&matches, "count"))
        .map(|index| {
            let listener = bind(listen, index)?;
            let server = server::Server::new(
                index,
                listener.local_addr()?,
                Arc::clone(&settings),
                Arc::clone(&record),
                number(&matches, "seed"),
            );
            Ok((Arc::new(server), listener))
        })
        .collect::<io::Result<Vec<_>>>()?;
    let control_listener = socket::bind(address(&matches, "control"))?;

    let addresses: Vec<_> = bound.iter().map(|(server, _)| server.address).collect();
    let ready = json!({
        "listening": addresses.first(),
        "servers": addresses,
        "control": control_listener.local_addr()?,
    });
    let backends = control::Backends {
        servers: bound.iter().map(|(server, _)| Arc::clone(server)).collect(),
        record,
    };
    actix_rt::System::new().block_on(async {
        for (server, listener) in bound {
            actix_rt::spawn(async move {
                let name = Arc::clone(&server.name);
                if let Err(error) = listener::serve(server, listener).await {
                    log::error!("{name}: {error}");
                }
            });
        }
        let control = control::run(control_listener, backends)?;
        let handle = control.handle();
        actix_rt::spawn(control);
        program::print_ready(&ready)?;
        program::wait_for_termination().await?;
        handle.stop(false).await;
        Ok(())
    })
}
