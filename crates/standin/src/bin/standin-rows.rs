//! Stand-in of the row store of the users' platform.

use std::io;

use clap::{Arg, Command};
use dotterelhinge_standin::{program, rows::server};
use serde_json::json;

fn main() -> io::Result<()> {
    let matches = Command::new("standin-rows")
        .about("Serves a store of rows in memory")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .help("Address to serve on; port 0 takes a free one")
                .required(true),
        )
        .get_matches();
    program::start_log();
    let listen = matches
        .get_one::<String>("listen")
        .map_or("", String::as_str);
    actix_rt::System::new().block_on(async {
        let server = server::Server::bind(listen)?;
        let ready = json!({"listening": server.address().to_string()});
        let server = server.run()?;
        let handle = server.handle();
        actix_rt::spawn(server);
        program::print_ready(&ready)?;
        program::wait_for_termination().await?;
        handle.stop(false).await;
        Ok(())
    })
}
