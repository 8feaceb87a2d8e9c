//! A started stand-in and raw connections to it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use dotterelhinge_standin::backend::record::{Entry, Page};
use dotterelhinge_standin::client::{self, Answer};
use dotterelhinge_standin::process::Process;
use serde_json::{Value, json};

pub(crate) struct Backend {
    pub(crate) process: Process,
}

impl Backend {
    /// Starts servers whose requests take no time, unless the arguments say so.
    pub(crate) fn start(arguments: &[&str]) -> Self {
        let mut all = vec!["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"];
        all.extend(["--distribution", "fixed", "--probe-ms", "0"]);
        if !arguments.contains(&"--count") {
            all.extend(["--count", "1"]);
        }
        if !arguments.contains(&"--service-ms") {
            all.extend(["--service-ms", "0"]);
        }
        all.extend(arguments);
        Backend {
            process: Process::start("standin-backend", &all).expect("backend starts"),
        }
    }

    pub(crate) fn address(&self, server: usize) -> String {
        let address = self.process.ready()["servers"][server].as_str();
        address.expect("server is listed").to_owned()
    }

    pub(crate) fn set(&self, fault: Value) {
        self.set_for(json!({"servers": null, "class": null, "fault": fault}));
    }

    pub(crate) fn set_for(&self, call: Value) {
        let answer = client::post(self.process.control(), "/fault", &call).expect("control");
        assert_eq!(answer.status, 200, "{call}: {}", answer.json());
    }

    pub(crate) fn get(&self, path: &str, id: &str) -> Result<Answer, String> {
        self.send(0, "GET", path, &[("x-request-id", id)], b"")
    }

    pub(crate) fn send(
        &self,
        server: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Answer, String> {
        let address = self.address(server);
        client::request(&address, method, path, headers, body, client::TIMEOUT)
            .map_err(|report| format!("{report:?}"))
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address(0)).expect("connects");
        stream
            .set_read_timeout(Some(client::TIMEOUT))
            .expect("timeout");
        stream
    }

    pub(crate) fn record(&self) -> Vec<Entry> {
        let answer = client::get(self.process.control(), "/record").expect("record");
        let page: Page = serde_json::from_slice(&answer.body).expect("page");
        page.entries
    }

    /// Waits until the record satisfies the condition.
    pub(crate) fn wait_for(&self, condition: impl Fn(&[Entry]) -> bool) -> Vec<Entry> {
        for _ in 0..4000 {
            let record = self.record();
            if condition(&record) {
                return record;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("record did not change: {:?}", self.record());
    }

    /// Status of server 0.
    pub(crate) fn status(&self) -> Value {
        let answer = client::get(self.process.control(), "/servers").expect("servers");
        answer.json()["servers"][0].clone()
    }

    /// Waits until a field of the status, given as a JSON pointer, has a value.
    pub(crate) fn wait_for_status(&self, field: &str, value: &Value) {
        for _ in 0..4000 {
            if self.status().pointer(field) == Some(value) {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("{field} did not become {value}: {}", self.status());
    }
}

pub(crate) fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("writes");
}

/// Reads until the text ends with `end`.
pub(crate) fn read_to(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with(end) {
        assert_eq!(
            stream.read(&mut byte).expect("reads"),
            1,
            "closed after {text:?}"
        );
        text.push(char::from(byte[0]));
    }
    text
}

/// Reads to the end of the stream.
pub(crate) fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("reads");
    String::from_utf8_lossy(&bytes).into_owned()
}
