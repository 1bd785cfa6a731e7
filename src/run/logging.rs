//! Log lines: through `tracing`, as text or as JSON lines, on standard output.

use std::fmt;
use std::str::FromStr;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Unix time in seconds, then the text; fields are left out, for the text names them.
    #[default]
    Text,
    /// One JSON object a line: `timestamp`, `level`, `message` and the event's fields.
    Json,
}

impl FromStr for Format {
    type Err = String;
    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("--log-format: {text:?} is neither text nor json")),
        }
    }
}

/// How log lines are written, and from which level on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Logging {
    /// Text or JSON.
    pub format: Format,
    /// The least grave level that is written.
    pub level: Level,
}

impl Default for Logging {
    fn default() -> Logging {
        Logging { format: Format::Text, level: Level::INFO }
    }
}

/// Reads a level: `error`, `warn`, `info`, `debug` or `trace`.
pub fn level(text: &str) -> Result<Level, String> {
    text.parse().map_err(|_| format!("--log-level: {text:?} is none of error, warn, info, debug, trace"))
}

/// Unix time in seconds with milliseconds, as the module counts it.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let at = crate::core::now();
        write!(w, "{}.{:03}", at.as_micros() / 1_000_000, at.as_millis() % 1000)
    }
}

/// The line that people on call read: time and message.
struct Plain;

/// Writes the message and nothing else of an event.
struct Message<'a, 'w>(&'a mut Writer<'w>, fmt::Result);

impl Visit for Message<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.1 = write!(self.0, "{value:?}");
        }
    }
}

impl<S, N> FormatEvent<S, N> for Plain
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut w: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        UnixTime.format_time(&mut w)?;
        w.write_char(' ')?;
        let mut message = Message(&mut w, Ok(()));
        event.record(&mut message);
        message.1?;
        writeln!(w)
    }
}

/// Starts logging for the life of the process. A second call changes nothing.
pub fn start(logging: Logging) {
    let builder = tracing_subscriber::fmt().with_max_level(logging.level).with_writer(std::io::stdout);
    // An error here says that logging was started before: it goes on as it was.
    let _ = match logging.format {
        Format::Text => builder.event_format(Plain).try_init(),
        Format::Json => {
            builder.json().with_timer(UnixTime).flatten_event(true).with_current_span(false).try_init()
        }
    };
}
