//! Logs: one key=value line for each event, on standard error.

use eyre::{Result, WrapErr, eyre};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Starts logging at `level`: a level, or a filter such as `info,emberturn::group=debug`.
///
/// # Errors
/// When the filter cannot be read, or logging was started before.
pub fn start(level: &str) -> Result<()> {
    let filter = EnvFilter::try_new(level).wrap_err_with(|| format!("log level {level:?}"))?;
    let layer = tracing_logfmt::builder().with_span_path(false).with_span_name(false).layer();
    tracing_subscriber::registry()
        .with(filter)
        .with(layer.with_writer(std::io::stderr))
        .try_init()
        .map_err(|error| eyre!("start logging: {error}"))
}
