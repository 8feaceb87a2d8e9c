//! Processes under test.
//!
//! Only tests and tools start processes; the daemon itself starts none.

use std::collections::HashSet;
use std::env;
use std::io::{BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use nix::sys::signal::{self, Signal};
use nix::time;
use nix::unistd::Pid;

use crate::client;

/// Longest wait for a process to be ready. Debug builds on a busy machine take
/// seconds to start.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the state of a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Output retained per process for error messages.
const MAX_OUTPUT_BYTES: usize = 1024 * 1024;

/// A process that could not be started, signalled or stopped.
#[derive(Debug, thiserror::Error)]
#[error("process {name}: {kind}")]
pub struct Error {
    name: String,
    kind: Kind,
}

#[derive(Clone, Debug, thiserror::Error)]
enum Kind {
    #[error("program not found next to the test executable")]
    NotFound,
    #[error("cannot be started")]
    Start,
    #[error("ended before it was ready, output:\n{0}")]
    Exited(String),
    #[error("not ready in time, output:\n{0}")]
    NotReady(String),
    #[error("sending a signal failed")]
    Signal,
    #[error("did not exit in time")]
    NotExited,
}

/// How a process shows that it is ready.
#[derive(Clone, Debug)]
pub enum Ready {
    /// It prints a JSON line with the field `listening`.
    Line,
    /// It counts as ready as soon as it was started.
    Started,
    /// A path answers 200.
    Http {
        /// Address of the server.
        address: String,
        /// Path that is fetched.
        path: String,
    },
}

/// A running process, killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    ready: serde_json::Value,
    output: Arc<Mutex<String>>,
    readers: Vec<thread::JoinHandle<()>>,
}

impl Process {
    /// Starts a program of this workspace and waits for its ready line.
    pub fn start(program: &str, arguments: &[&str]) -> Result<Self, Report<Error>> {
        Self::start_with(program, arguments, &[], &Ready::Line)
    }

    /// Starts a program with environment variables and waits until it is ready.
    pub fn start_with(
        program: &str,
        arguments: &[&str],
        environment: &[(&str, &str)],
        ready: &Ready,
    ) -> Result<Self, Report<Error>> {
        let fail = |kind: Kind| Error {
            name: program.to_owned(),
            kind,
        };
        let path = program_path(program).ok_or_else(|| fail(Kind::NotFound))?;
        let mut child = Command::new(path)
            .args(arguments)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .change_context_lazy(|| fail(Kind::Start))?;
        let output = Arc::new(Mutex::new(String::new()));
        let (sender, lines) = mpsc::channel();
        let stdout = child.stdout.take();
        let stdout = stdout.map(|stream| read_output(stream, Arc::clone(&output), Some(sender)));
        let stderr = child.stderr.take();
        let stderr = stderr.map(|stream| read_output(stream, Arc::clone(&output), None));
        // From here on an early return drops `process` and so kills the child.
        let mut process = Process {
            name: program.to_owned(),
            child,
            ready: serde_json::Value::Null,
            output,
            readers: stdout.into_iter().chain(stderr).collect(),
        };
        process.ready = process.wait_until_ready(ready, &lines)?;
        Ok(process)
    }

    fn wait_until_ready(
        &mut self,
        ready: &Ready,
        lines: &mpsc::Receiver<String>,
    ) -> Result<serde_json::Value, Report<Error>> {
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            match ready {
                Ready::Started => return Ok(serde_json::Value::Null),
                Ready::Line => match lines.recv_timeout(POLL_INTERVAL) {
                    Ok(line) => {
                        if let Ok(value) = serde_json::from_str::<serde_json::Value>(&line)
                            && value.get("listening").is_some()
                        {
                            return Ok(value);
                        }
                    }
                    Err(mpsc::RecvTimeoutError::Timeout) => {}
                    Err(mpsc::RecvTimeoutError::Disconnected) => thread::sleep(POLL_INTERVAL),
                },
                Ready::Http { address, path } => {
                    let second = Duration::from_secs(1);
                    let answer = client::request(address, "GET", path, &[], b"", second);
                    if answer.is_ok_and(|answer| answer.status == 200) {
                        return Ok(serde_json::Value::Null);
                    }
                    thread::sleep(POLL_INTERVAL);
                }
            }
            if self.exit_status().is_some() {
                // The pipes may still contain the error message.
                for reader in self.readers.drain(..) {
                    let _ = reader.join();
                }
                return Err(self.error(Kind::Exited(self.output())));
            }
            if Instant::now() >= until {
                return Err(self.error(Kind::NotReady(self.output())));
            }
        }
    }

    fn error(&self, kind: Kind) -> Report<Error> {
        Report::new(Error {
            name: self.name.clone(),
            kind,
        })
    }

    /// Returns the ready line, or null unless [`Ready::Line`] was awaited.
    pub fn ready(&self) -> &serde_json::Value {
        &self.ready
    }

    /// Returns the field `listening` of the ready line, empty if absent.
    pub fn listening(&self) -> &str {
        self.ready["listening"].as_str().unwrap_or_default()
    }

    /// Returns the field `control` of the ready line, empty if absent.
    pub fn control(&self) -> &str {
        self.ready["control"].as_str().unwrap_or_default()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the last output of the process, including standard error.
    pub fn output(&self) -> String {
        self.output
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the exit status, if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the process to exit; fails after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, Report<Error>> {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.exit_status() {
                return Ok(status);
            }
            if Instant::now() >= until {
                return Err(self.error(Kind::NotExited));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends SIGTERM without waiting.
    pub fn terminate(&self) -> Result<(), Report<Error>> {
        self.signal(Signal::SIGTERM)
    }

    /// Sends SIGTERM and waits for the exit; fails and kills the process after
    /// `limit`.
    pub fn stop(mut self, limit: Duration) -> Result<ExitStatus, Report<Error>> {
        if self.exit_status().is_none() {
            self.terminate()?;
        }
        self.wait(limit)
    }

    /// Kills the process and waits for its exit.
    pub fn kill(mut self) {
        self.kill_and_reap();
    }

    /// Returns the processor time that the process has used; zero once it has ended.
    pub fn cpu_time(&self) -> Duration {
        let clock = time::clock_getcpuclockid(Pid::from_raw(self.child.id().cast_signed()));
        let used = clock.and_then(time::clock_gettime);
        used.map(Duration::from).unwrap_or_default()
    }

    /// Suspends the process with SIGSTOP. Its sockets stay open.
    pub fn suspend(&self) -> Result<(), Report<Error>> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) -> Result<(), Report<Error>> {
        self.signal(Signal::SIGCONT)
    }

    fn signal(&self, signal: Signal) -> Result<(), Report<Error>> {
        // The child is reaped only through this value, so the id is not reused.
        let id = i32::try_from(self.child.id()).map_err(|_| self.error(Kind::Signal))?;
        signal::kill(Pid::from_raw(id), signal).map_err(|_| self.error(Kind::Signal))
    }

    fn kill_and_reap(&mut self) {
        if self.exit_status().is_none() {
            // SIGKILL also ends a process that is suspended by SIGSTOP.
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill_and_reap();
    }
}

/// Returns the path of a program in the target directory of the running test.
pub fn program_path(program: &str) -> Option<PathBuf> {
    let test = env::current_exe().ok()?;
    // Tests run from target/<profile>/deps, programs from target/<profile>.
    test.ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join(program))
        .find(|path| path.is_file())
}

/// Returns loopback addresses with ports that were free at the time of the call.
///
/// All listeners stay open until all ports are found, so the ports differ.
/// Another process may still take one before it is used; prefer port 0 where
/// the program reports its address.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut listeners = Vec::with_capacity(count);
    let mut seen = HashSet::new();
    while listeners.len() < count {
        let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)) else {
            break;
        };
        if let Ok(address) = listener.local_addr()
            && seen.insert(address.port())
        {
            listeners.push((listener, address));
        }
    }
    listeners.into_iter().map(|(_, address)| address).collect()
}

fn read_output(
    stream: impl Read + Send + 'static,
    output: Arc<Mutex<String>>,
    lines: Option<mpsc::Sender<String>>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { break };
            {
                let mut output = output.lock().unwrap_or_else(PoisonError::into_inner);
                if output.len() > MAX_OUTPUT_BYTES {
                    let middle = output.len() / 2;
                    let start = output
                        .match_indices('\n')
                        .map(|(end, _)| end + 1)
                        .find(|start| *start >= middle)
                        .unwrap_or(output.len());
                    output.drain(..start);
                }
                output.push_str(&line);
                output.push('\n');
            }
            if let Some(lines) = &lines {
                // The receiver is dropped once the process is ready.
                let _ = lines.send(line);
            }
        }
    })
}
