//! Log output: one line per record, with time, level, target, message and structured fields.

use fern::Dispatch;
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use std::{
    fmt::Write,
    io,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

/// Capacity of the queue to the writer thread, in lines; further lines are dropped.
const QUEUE_CAPACITY: usize = 2_048;

/// Lines that were dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of log lines dropped since the start, because the reader of the log did not keep up.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The log file cannot be opened.
    #[error("the log file {path} cannot be opened: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The writer thread cannot be started.
    #[error("the log thread cannot be started: {0}")]
    Thread(io::Error),
    /// Another logger is already in place.
    #[error("logging was set up twice")]
    SetTwice,
}

/// Sends log records up to `level` to `file`, or to standard error.
///
/// # Errors
/// [`LoggingError`] if the file cannot be opened or a logger is already in place.
pub fn start(level: LevelFilter, file: Option<&Path>) -> Result<(), LoggingError> {
    let dispatch = formatted(level);
    let dispatch = match file {
        Some(path) => {
            dispatch.chain(fern::log_file(path).map_err(|source| LoggingError::File {
                path: path.into(),
                source,
            })?)
        }
        None => dispatch.chain(io::stderr()),
    };
    dispatch.apply().map_err(|_| LoggingError::SetTwice)
}

/// Sends log records up to `level` to standard output. A dedicated thread writes them, so that a
/// slow reader never blocks the daemon; when the queue is full, lines are dropped and counted.
///
/// # Errors
/// [`LoggingError`] if a logger is already in place or the thread cannot be started.
pub fn start_on_stdout(level: LevelFilter) -> Result<(), LoggingError> {
    let (tx, rx) = crossbeam_channel::bounded::<String>(QUEUE_CAPACITY);
    let writer = thread::Builder::new().name("log".into()).spawn(move || {
        for line in rx {
            // A failure to write the log cannot be logged.
            let _ = io::Write::write_all(&mut io::stdout().lock(), line.as_bytes());
        }
    });
    writer.map_err(LoggingError::Thread)?;
    let output = fern::Output::call(move |record| {
        if tx.try_send(format!("{}\n", record.args())).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    });
    let dispatch = formatted(level).chain(output);
    dispatch.apply().map_err(|_| LoggingError::SetTwice)
}

fn formatted(level: LevelFilter) -> Dispatch {
    let dispatch =
        Dispatch::new()
            .level(level.min(LevelFilter::Warn))
            .format(|out, message, record| {
                let time = jiff::Timestamp::now();
                let fields = fields_of(record);
                out.finish(format_args!(
                    "{time:.3} {:<5} [{}] {message}{fields}",
                    record.level(),
                    record.target(),
                ));
            });
    DAEMON_TARGETS
        .iter()
        .fold(dispatch, |d, target| d.level_for(*target, level))
}

/// Log targets of the daemon's components. All other targets, such as those of libraries, log only
/// warnings and errors.
const DAEMON_TARGETS: [&str; 8] = [
    "entry",
    "request",
    "ownership",
    "peer",
    "config",
    "operator",
    "store",
    "health",
];

/// The record's structured fields as ` name=value` pairs.
fn fields_of(record: &Record<'_>) -> String {
    struct Fields(String);

    impl<'kvs> VisitSource<'kvs> for Fields {
        fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
            write!(self.0, " {key}={value}")?;
            Ok(())
        }
    }

    let mut fields = Fields(String::new());
    // A field that cannot be formatted must not lose the record.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}
