//! Record of every execution, for the history checker.

use fireflygauge::world::{Incarnation, VmName};
use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::Arc,
    time::Duration,
};

/// One execution of a request by a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The target.
    pub target: VmName,
    /// Incarnation of the target process.
    pub incarnation: Incarnation,
    /// The key, which is the first path segment after the service.
    pub key: Arc<str>,
    /// The partition under which it was admitted; `None` without grants.
    pub partition: Option<u32>,
    /// The ownership epoch under which it was admitted.
    pub epoch: Option<u64>,
    /// The daemon's request id.
    pub request_id: Arc<str>,
    /// The caller's token, from the header `x-token` or the query parameter `token`.
    pub token: Arc<str>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Method.
    pub method: Arc<str>,
    /// When it was admitted to a slot, in microseconds of the machine's boot-time clock.
    pub start_us: u64,
    /// When it ended, on the same clock.
    pub end_us: u64,
    /// Whether it took effect. Only then did the request run in the sense of the guarantees.
    pub effect: bool,
}

/// Body of a target's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetResponse {
    /// The target that ran the request.
    pub target: VmName,
    /// The key.
    pub key: Arc<str>,
    /// The daemon's request id.
    pub request_id: Arc<str>,
    /// The caller's token, from the header `x-token` or the query parameter `token`.
    pub token: Arc<str>,
    /// Method.
    pub method: Arc<str>,
    /// The request's body, as text.
    pub body: String,
    /// Filler of the length asked for by `x-answer-bytes`.
    pub padding: String,
}

/// Executions in memory and, if asked for, in a file of JSON lines.
#[derive(Debug)]
pub struct History {
    pub(super) executions: Vec<Execution>,
    file: Option<File>,
}

impl History {
    /// Opens a history that appends to `path`.
    ///
    /// # Errors
    /// The system's error if the file cannot be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = path
            .map(|path| OpenOptions::new().create(true).append(true).open(path))
            .transpose()?;
        Ok(Self {
            executions: Vec::new(),
            file,
        })
    }

    /// Appends one execution; in memory only if there is no file.
    pub fn append(&mut self, execution: Execution) {
        let Some(file) = &mut self.file else {
            self.executions.push(execution);
            return;
        };
        let mut line = serde_json::to_vec(&execution).expect("an execution is valid JSON");
        line.push(b'\n');
        file.write_all(&line)
            .expect("the history file can be written");
    }
}

/// Reads a history file. A last line without a newline was cut off by a kill and is left out.
///
/// # Errors
/// The system's error if the file cannot be read, or one of kind `InvalidData`.
pub fn read_history(path: &Path) -> io::Result<Vec<Execution>> {
    let text = match std::fs::read_to_string(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        other => other?,
    };
    let complete = text.rsplit_once('\n').map_or("", |(lines, _)| lines);
    let parse = |line| serde_json::from_str(line).map_err(io::Error::from);
    complete.lines().map(parse).collect()
}

/// Microseconds of the machine's boot-time clock, which all processes on it share.
pub fn boottime_us() -> u64 {
    let time: Duration = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("Linux has a boot-time clock")
        .into();
    time.as_micros() as u64
}
