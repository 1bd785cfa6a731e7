//! The report of a run: one row of figures (CSV or JSON) and one chart (SVG) over the time of the run.

use crate::ledger::AttemptCounts;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend, BLACK, WHITE,
};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Width of the buckets of charts and of [`Outcomes`].
pub const BUCKET: Duration = Duration::from_millis(250);
/// Minimum fraction of served requests; the start of the fleet is over when no later bucket is below it.
pub const MIN_SERVED_FRACTION: f64 = 0.95;

/// Numbers of requests by outcome, in buckets of [`BUCKET`] by the times at which they were due. Requests
/// without a complete answer whose manager was killed or stopped after they were due are left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// Requests sent by clients.
    pub issued: Vec<u32>,
    /// Requests with a complete result.
    pub served: Vec<u32>,
    /// Requests with an error after which a retry is safe.
    pub refused: Vec<u32>,
    /// Requests that failed, were lost or could not be sent.
    pub failed_or_lost: Vec<u32>,
}

impl Outcomes {
    /// Fraction of the requests due between `from` and `to`, in seconds, that were served.
    pub fn served_share(&self, from: f64, to: f64) -> f64 {
        let within = |i: &usize| (from..to).contains(&(*i as f64 * BUCKET.as_secs_f64()));
        let sum =
            |counts: &[u32]| (0..counts.len()).filter(within).map(|i| f64::from(counts[i])).sum::<f64>();
        sum(&self.served) / sum(&self.issued).max(1.0)
    }

    /// Seconds from the start of the run to the end of the last bucket in which less than
    /// [`MIN_SERVED_FRACTION`] of the requests were served; 0 if there was no such bucket. Buckets with fewer
    /// than `min_requests` requests are joined with the following ones.
    pub fn seconds_to_serving(&self, min_requests: u32) -> f64 {
        let mut issued = 0;
        let mut served = 0;
        let mut buckets = 0;
        for i in 0..self.issued.len() {
            issued += self.issued[i];
            served += self.served[i];
            if issued >= min_requests.max(1) {
                if f64::from(served) < MIN_SERVED_FRACTION * f64::from(issued) {
                    buckets = i + 1;
                }
                issued = 0;
                served = 0;
            }
        }
        buckets as f64 * BUCKET.as_secs_f64()
    }
}

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Whether the managers ran with settings of the cold start.
    pub cold_start: bool,
    /// Number of managers in the scenario.
    pub managers: usize,
    /// Number of managers that were ready at least once.
    pub became_ready: usize,
    /// Number of processes that crashed: they exited by themselves without naming a next version, or after
    /// SIGTERM with a status other than 0 or not in time.
    pub crashed: usize,
    /// Requests that clients sent.
    pub issued: u64,
    /// Requests with a complete result.
    pub served: u64,
    /// Requests with an error after which a retry is safe.
    pub refused: u64,
    /// Requests with any other error.
    pub failed: u64,
    /// Requests sent to a manager that was not killed or stopped, without a complete answer.
    pub lost: u64,
    /// Requests without a complete answer whose manager was killed or stopped after they were due.
    pub died: u64,
    /// Requests that could not be sent to a manager that was not killed or stopped.
    pub not_taken: u64,
    /// Median latency of the served requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the served requests, in milliseconds.
    pub p99_ms: f64,
    /// Seconds from the start of the run to the end of the last bucket in which fewer than 95% of the
    /// requests were served ([`Outcomes::seconds_to_serving`]).
    pub serving_s: f64,
    /// Number of calls to the list services.
    pub calls: usize,
    /// Maximum number of calls to the list services in 100 ms.
    pub calls_100ms: usize,
    /// Maximum number of calls to the list services in 1 s.
    pub calls_1s: usize,
    /// Calls to the list services per second in the last third of the run.
    pub calls_steady: f64,
    /// Number of connections to engines.
    pub dials: usize,
    /// Maximum number of connections to engines in 100 ms.
    pub dials_100ms: usize,
    /// Maximum number of connections to engines in 1 s.
    pub dials_1s: usize,
    /// Maximum number of connections to one engine in 100 ms.
    pub dials_engine_100ms: usize,
    /// Maximum number of threads at work on one engine at a time.
    pub max_threads: f64,
    /// Fraction of the attempts that crossed zones; 0 where managers do not know their zone.
    pub crossing: f64,
    /// Fraction of the attempts that crossed zones before the watched zone was lost, from second 1 on.
    pub crossed_before: f64,
    /// Seconds from the loss of the watched zone until 95% of the managers that had sent attempts there had
    /// left it ([`crate::run::Outcome::zone_departure_seconds`]); NaN if no manager had sent attempts there.
    /// Computed from the attempts that reached engines, so it is meaningless if a partition blocks the
    /// attempts.
    pub left_s: f64,
    /// Fraction of the requests that were served while the watched zone was lost.
    pub served_away: f64,
    /// Fraction of the requests that were served in the 10 s after the watched zone came back.
    pub served_back: f64,
    /// Fraction of the attempts of the watched zone's own managers that went to their zone in the first
    /// second after it came back.
    pub home_first: f64,
    /// Fraction of the attempts of the watched zone's own managers that went to their zone in the last 5 s of
    /// the run.
    pub home_last: f64,
    /// Number of managers that logged the ejection of the watched zone after its loss.
    pub managers_with_ejection: usize,
    /// Seconds from the loss of the watched zone until half of these managers had logged the ejection; NaN if
    /// there are none.
    pub ejection_p50_s: f64,
    /// Seconds from the loss of the watched zone until 95% of these managers had logged the ejection; NaN if
    /// there are none.
    pub ejection_p95_s: f64,
    /// Processor time of a manager's process, in seconds; the mean over the processes at the end of the run.
    pub cpu_s: f64,
    /// Seconds from the start until all views of the fleet were right for the rest of the run; NaN if they
    /// were not right at the end, or in a run without membership.
    pub agreed_s: f64,
    /// Numbers of attempts that reached engines, and of those that broke a rule.
    pub attempt_counts: AttemptCounts,
    /// Violations of the journal's invariants that the checker found; absent if no history was checked.
    pub violations: Option<usize>,
}

impl Report {
    /// The figures as text, each with its column name, in the order of the table.
    pub fn fields(&self) -> Vec<(&'static str, String)> {
        let counts = &self.attempt_counts;
        vec![
            ("scenario", self.scenario.clone()),
            ("cold_start", if self.cold_start { "on" } else { "off" }.to_owned()),
            ("managers", self.managers.to_string()),
            ("up", self.became_ready.to_string()),
            ("crashed", self.crashed.to_string()),
            ("asked", self.issued.to_string()),
            ("served", self.served.to_string()),
            ("refused", self.refused.to_string()),
            ("failed", self.failed.to_string()),
            ("lost", self.lost.to_string()),
            ("died", self.died.to_string()),
            ("not_taken", self.not_taken.to_string()),
            ("p50_ms", format!("{:.1}", self.p50_ms)),
            ("p99_ms", format!("{:.1}", self.p99_ms)),
            ("serving_s", format!("{:.2}", self.serving_s)),
            ("calls", self.calls.to_string()),
            ("calls_100ms", self.calls_100ms.to_string()),
            ("calls_1s", self.calls_1s.to_string()),
            ("calls_steady", format!("{:.1}", self.calls_steady)),
            ("dials", self.dials.to_string()),
            ("dials_100ms", self.dials_100ms.to_string()),
            ("dials_1s", self.dials_1s.to_string()),
            ("dials_engine_100ms", self.dials_engine_100ms.to_string()),
            ("most_threads", format!("{:.0}", self.max_threads)),
            ("crossing", format!("{:.4}", self.crossing)),
            ("crossed_before", format!("{:.4}", self.crossed_before)),
            ("left_s", format!("{:.2}", self.left_s)),
            ("served_away", format!("{:.4}", self.served_away)),
            ("served_back", format!("{:.4}", self.served_back)),
            ("home_first", format!("{:.3}", self.home_first)),
            ("home_last", format!("{:.3}", self.home_last)),
            ("said_lost", self.managers_with_ejection.to_string()),
            ("said_p50_s", format!("{:.2}", self.ejection_p50_s)),
            ("said_p95_s", format!("{:.2}", self.ejection_p95_s)),
            ("cpu_s", format!("{:.2}", self.cpu_s)),
            ("agreed_s", format!("{:.2}", self.agreed_s)),
            ("attempts", counts.attempts.to_string()),
            ("further", counts.retries.to_string()),
            ("second_attempts", counts.second_attempts.to_string()),
            ("after_drain", counts.after_drain.to_string()),
            ("pushed_over", counts.cold_engine_falls.to_string()),
            ("violations", self.violations.map_or("-".to_owned(), |n| n.to_string())),
        ]
    }

    /// The header line of the CSV table.
    pub fn head() -> String {
        let names: Vec<&str> = Report::default().fields().iter().map(|f| f.0).collect();
        names.join(",")
    }

    /// The report's line of the CSV table. Nothing is quoted, since scenario names contain no commas.
    pub fn line(&self) -> String {
        let values: Vec<String> = self.fields().into_iter().map(|f| f.1).collect();
        values.join(",")
    }

    /// The report as a JSON object, with figures as numbers and other values as strings.
    pub fn json(&self) -> String {
        let to_json =
            |v: &str| v.parse::<f64>().map_or_else(|_| serde_json::Value::from(v), serde_json::Value::from);
        let map: serde_json::Map<String, serde_json::Value> =
            self.fields().iter().map(|(name, v)| ((*name).to_owned(), to_json(v))).collect();
        serde_json::Value::from(map).to_string()
    }
}

/// A chart could not be written.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct ChartError {
    /// Path of the chart's file.
    pub path: PathBuf,
    /// The error of the drawing library or the file.
    pub source: Box<dyn std::error::Error>,
}

/// A line of a chart over the time of the run.
pub struct Series<'a> {
    /// Label of the line in the legend.
    pub name: &'a str,
    /// Values of the line, one per bucket of [`BUCKET`].
    pub values: Vec<f64>,
}

/// Draws panels of lines over time as an SVG file, one panel below the other.
///
/// # Errors
/// If the chart can't be drawn or the file can't be written.
pub fn chart(path: &Path, title: &str, panels: &[(&str, Vec<Series<'_>>)]) -> Result<(), ChartError> {
    draw(path, title, panels).map_err(|source| ChartError { path: path.to_owned(), source })
}

fn draw(
    path: &Path,
    title: &str,
    panels: &[(&str, Vec<Series<'_>>)],
) -> Result<(), Box<dyn std::error::Error>> {
    /// Colours of a panel's lines, in order; further lines are not drawn.
    const COLOURS: [RGBColor; 6] = [
        RGBColor(31, 119, 180),
        RGBColor(214, 39, 40),
        RGBColor(44, 160, 44),
        RGBColor(255, 127, 14),
        RGBColor(148, 103, 189),
        RGBColor(90, 90, 90),
    ];
    let root = SVGBackend::new(path, (900, 40 + 240 * panels.len() as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let root = root.titled(title, ("sans-serif", 18))?;
    for (area, (name, lines)) in root.split_evenly((panels.len(), 1)).iter().zip(panels) {
        let buckets = lines.iter().map(|l| l.values.len()).max().unwrap_or(1);
        let max_value = lines.iter().flat_map(|l| &l.values).fold(1.0f64, |a, b| a.max(*b));
        let seconds = buckets as f64 * BUCKET.as_secs_f64();
        let mut chart = ChartBuilder::on(area)
            .caption(*name, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds, 0.0..max_value * 1.05)?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw()?;
        for (line, colour) in lines.iter().zip(COLOURS) {
            let points = line.values.iter().enumerate().map(|(i, v)| (i as f64 * BUCKET.as_secs_f64(), *v));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(line.name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}

#[cfg(test)]
mod tests;
