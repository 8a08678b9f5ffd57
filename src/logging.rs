//! Log output: one line a record, with a fixed prefix for each part and structured fields.

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

/// Lines that may wait to be written; further ones are dropped.
const RING_LENGTH: usize = 2_048;

/// Lines that were dropped because the ring was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start, because whoever reads the log does not keep up.
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
        /// The system's reason.
        source: io::Error,
    },
    /// The writing thread cannot be started.
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

/// Sends log records up to `level` to standard output. A thread writes them, so that a reader that
/// does not keep up delays nothing; lines beyond the ring's length are dropped and counted.
///
/// # Errors
/// [`LoggingError`] if a logger is already in place or the thread cannot be started.
pub fn start_on_stdout(level: LevelFilter) -> Result<(), LoggingError> {
    let (tx, rx) = crossbeam_channel::bounded::<String>(RING_LENGTH);
    let writer = thread::Builder::new().name("log".into()).spawn(move || {
        for line in rx {
            // Nobody is left to tell that the log cannot be written.
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
    PARTS
        .iter()
        .fold(dispatch, |d, part| d.level_for(*part, level))
}

/// Log targets of the daemon's parts. Libraries log warnings and errors only.
const PARTS: [&str; 8] = [
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
