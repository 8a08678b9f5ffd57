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
};

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
    /// Another logger is already in place.
    #[error("logging was set up twice")]
    SetTwice,
}

/// Sends log records up to `level` to `file`, or to standard error.
///
/// # Errors
/// [`LoggingError`] if the file cannot be opened or a logger is already in place.
pub fn start(level: LevelFilter, file: Option<&Path>) -> Result<(), LoggingError> {
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
    let dispatch = PARTS
        .iter()
        .fold(dispatch, |d, part| d.level_for(*part, level));
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
