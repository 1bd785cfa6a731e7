//! Logging through `tracing`, as text or JSON lines on standard output.

use std::fmt;
use std::str::FromStr;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Error for an invalid log setting.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoggingError {
    /// The format is neither `text` nor `json`.
    #[error("{0:?} is neither text nor json")]
    Format(String),
    /// The level is not one that [`parse_level`] reads.
    #[error("{0:?} is none of error, warn, info, debug, trace")]
    Level(String),
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One line per event: Unix time in seconds, the message, then the event's fields as `key=value`.
    #[default]
    Text,
    /// One JSON object per line: `timestamp`, `level`, `message` and the event's fields.
    Json,
}

impl FromStr for Format {
    type Err = LoggingError;

    fn from_str(text: &str) -> Result<Format, LoggingError> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(LoggingError::Format(text.to_owned())),
        }
    }
}

/// Format and minimum level of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Logging {
    /// Format of the lines; text by default.
    pub format: Format,
    /// The least severe level that is written; `INFO` by default.
    pub level: Level,
}

impl Default for Logging {
    fn default() -> Logging {
        Logging { format: Format::Text, level: Level::INFO }
    }
}

/// Reads a level: `error`, `warn`, `info`, `debug` or `trace`.
///
/// # Errors
/// Any other string.
pub fn parse_level(text: &str) -> Result<Level, LoggingError> {
    text.parse().map_err(|_| LoggingError::Level(text.to_owned()))
}

/// Writes the Unix time in seconds with three decimals, from the clock that the policy uses.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        let millis = crate::core::now().as_millis();
        write!(writer, "{}.{:03}", millis / 1_000, millis % 1_000)
    }
}

/// Formatter of the text format: time, message and fields.
struct TextFormat;

/// The field that holds an event's message. The macros of `tracing` put it before all others.
const MESSAGE_FIELD: &str = "message";

/// Writes the message of an event unchanged, and each other field as ` key=value`.
struct FieldWriter<'a, 'w> {
    writer: &'a mut Writer<'w>,
    /// Result of the writes so far; nothing is written after the first error.
    result: fmt::Result,
}

impl Visit for FieldWriter<'_, '_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        if self.result.is_err() {
            return;
        }
        self.result = match field.name() {
            MESSAGE_FIELD => self.writer.write_str(value),
            name if is_plain(value) => write!(self.writer, " {name}={value}"),
            name => write!(self.writer, " {name}={value:?}"),
        };
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.record_str(field, &format!("{value:?}"));
    }
}

/// Whether a value needs no quotes: a reader that splits the line at spaces and `=` gets the value in one
/// piece.
fn is_plain(value: &str) -> bool {
    let needs_quotes = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=');
    !value.is_empty() && !value.contains(needs_quotes)
}

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        UnixTime.format_time(&mut writer)?;
        writer.write_char(' ')?;
        let mut fields = FieldWriter { writer: &mut writer, result: Ok(()) };
        event.record(&mut fields);
        fields.result?;
        writeln!(writer)
    }
}

/// Maximum number of lines that wait to be written; further lines are dropped. A stuck reader must not block
/// serving.
const MAX_WAITING_LINES: usize = 4_096;

/// Guard that flushes the waiting lines, for at most a second, when it is dropped before the process exits.
#[must_use]
pub struct LogFlush(#[expect(dead_code, reason = "only its drop matters")] WorkerGuard);

/// Starts logging for the lifetime of the process. A dedicated thread writes the lines. A second call has no
/// effect on the format or level.
pub fn start(logging: Logging) -> LogFlush {
    let writer_builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_WAITING_LINES).lossy(true);
    let (writer, guard) = writer_builder.thread_name("log-writer").finish(std::io::stdout());
    // By default the library reports a line that it cannot write on standard error, and panics if that fails
    // too: with both streams on a full disk, or with their readers closed, the next line would end the
    // process.
    let subscriber_builder = tracing_subscriber::fmt()
        .with_max_level(logging.level)
        .with_writer(writer)
        .log_internal_errors(false);
    // An error means that logging was started before; it continues unchanged.
    let _ = match logging.format {
        Format::Text => subscriber_builder.event_format(TextFormat).try_init(),
        Format::Json => subscriber_builder
            .json()
            .with_timer(UnixTime)
            .flatten_event(true)
            .with_current_span(false)
            .try_init(),
    };
    LogFlush(guard)
}

#[cfg(test)]
mod tests;
