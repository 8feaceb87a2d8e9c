//! Which targets are ready, as the platform's load balancer would ask.

use std::cell::RefCell;
use std::time::Duration;

use futures_util::future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use crate::caller::run::Settings;

/// Longest wait for an answer of `/ready`.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Asks all admin addresses once.
pub(crate) async fn update(settings: &Settings, ready: &RefCell<Vec<bool>>) {
    let asked = settings.admins.iter().map(|admin| is_ready(admin));
    let answers = future::join_all(asked).await;
    for (state, answer) in ready.borrow_mut().iter_mut().zip(answers) {
        *state = answer;
    }
}

/// Asks all admin addresses again and again.
pub(crate) async fn watch(settings: &Settings, ready: &RefCell<Vec<bool>>) {
    loop {
        time::sleep(settings.ready_period).await;
        update(settings, ready).await;
    }
}

async fn is_ready(admin: &str) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(admin).await?;
        let request = format!("GET /ready HTTP/1.1\r\nhost: {admin}\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let mut status = [0; 12];
        stream.read_exact(&mut status).await?;
        std::io::Result::Ok(status.starts_with(b"HTTP/1.1 200"))
    };
    matches!(time::timeout(TIMEOUT, ask).await, Ok(Ok(true)))
}
