//! What a run gives: one row of figures (CSV or JSON) and one chart (SVG) over its time.

use crate::ledger::Breaches;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend, BLACK, WHITE,
};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Width of the buckets of charts and of [`Outcomes`].
pub const BUCKET: Duration = Duration::from_millis(250);
/// Fraction of the requests that must be served, from then on, for a start to be over.
pub const SERVING: f64 = 0.95;

/// Requests by what became of them, in buckets of when they were due.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// Sent by clients.
    pub issued: Vec<u32>,
    /// Served.
    pub served: Vec<u32>,
    /// Refused.
    pub refused: Vec<u32>,
    /// Failed, lost or not taken.
    pub bad: Vec<u32>,
}

impl Outcomes {
    /// Fraction of the requests served from one time up to another, in seconds.
    pub fn served_share(&self, from: f64, to: f64) -> f64 {
        let within = |i: &usize| (from..to).contains(&(*i as f64 * BUCKET.as_secs_f64()));
        let sum = |of: &[u32]| (0..of.len()).filter(within).map(|i| f64::from(of[i])).sum::<f64>();
        sum(&self.served) / sum(&self.issued).max(1.0)
    }

    /// Seconds from the start to the end of the last bucket in which less than [`SERVING`] of the requests was
    /// served; 0 if there was none. Buckets with fewer than `least` requests are joined with those that follow.
    pub fn seconds_to_serving(&self, least: u32) -> f64 {
        let mut issued = 0;
        let mut served = 0;
        let mut late = 0;
        for i in 0..self.issued.len() {
            issued += self.issued[i];
            served += self.served[i];
            if issued >= least.max(1) {
                if f64::from(served) < SERVING * f64::from(issued) {
                    late = i + 1;
                }
                issued = 0;
                served = 0;
            }
        }
        late as f64 * BUCKET.as_secs_f64()
    }
}

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// Whether the cold start was on.
    pub cold_start: bool,
    /// Managers.
    pub managers: usize,
    /// Managers that came up at least once.
    pub up: usize,
    /// Managers that ended by themselves without being asked to.
    pub crashed: usize,
    /// Requests that clients sent.
    pub issued: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Taken and never answered whole, by a manager that was not killed.
    pub lost: u64,
    /// Open at a manager when it was killed or stopped.
    pub died: u64,
    /// No connection came up.
    pub not_taken: u64,
    /// Latency of what was served, in milliseconds: median and 99th percentile.
    pub p50_ms: f64,
    /// As above.
    pub p99_ms: f64,
    /// Seconds until 95% of the requests are served, from then on.
    pub serving_s: f64,
    /// Calls of the list service: all, most in 100 ms, most in 1 s, a second in the last third.
    pub calls: usize,
    /// As above.
    pub calls_100ms: usize,
    /// As above.
    pub calls_1s: usize,
    /// As above.
    pub calls_steady: f64,
    /// Connections to engines: all, most in 100 ms, most in 1 s, most to one engine in 100 ms.
    pub dials: usize,
    /// As above.
    pub dials_100ms: usize,
    /// As above.
    pub dials_1s: usize,
    /// As above.
    pub dials_engine_100ms: usize,
    /// Threads at work on one engine at most.
    pub max_threads: f64,
    /// Fraction of attempts that crossed zones; 0 where managers do not know their zone.
    pub crossing: f64,
    /// Of the zone that the run is about: attempts that crossed zones before it was lost, as a share.
    pub crossed_before: f64,
    /// Seconds from its loss until 95% of the managers that had sent there sent elsewhere; none if they never did. By
    /// what reached engines: where a partition lets nothing through, it says nothing.
    pub left_s: f64,
    /// Fraction of the requests served while it was away, and in the 10 s after its return.
    pub served_away: f64,
    /// As above.
    pub served_back: f64,
    /// Share of its own managers' attempts that went to it in the first second of its return, and in the last 5 s.
    pub home_first: f64,
    /// As above.
    pub home_last: f64,
    /// Managers that said that it is lost, and seconds until half and 95% of them had.
    pub said_lost: usize,
    /// As above.
    pub said_p50_s: f64,
    /// As above.
    pub said_p95_s: f64,
    /// Processor time of a manager's process, in seconds, in the mean of those that run at the end.
    pub cpu_s: f64,
    /// Seconds from the start until all views of the fleet were right for good; none if they were not at the end, 0
    /// where none are kept.
    pub agreed_s: f64,
    /// What the engines saw.
    pub breaches: Breaches,
    /// Rules of the journal that the checker found broken; none where no history was judged.
    pub violations: Option<usize>,
}

impl Report {
    /// The figures by name, in the table's order.
    pub fn fields(&self) -> Vec<(&'static str, String)> {
        let b = &self.breaches;
        vec![
            ("scenario", self.scenario.clone()),
            ("cold_start", if self.cold_start { "on" } else { "off" }.to_owned()),
            ("managers", self.managers.to_string()),
            ("up", self.up.to_string()),
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
            ("said_lost", self.said_lost.to_string()),
            ("said_p50_s", format!("{:.2}", self.said_p50_s)),
            ("said_p95_s", format!("{:.2}", self.said_p95_s)),
            ("cpu_s", format!("{:.2}", self.cpu_s)),
            ("agreed_s", format!("{:.2}", self.agreed_s)),
            ("attempts", b.attempts.to_string()),
            ("further", b.further.to_string()),
            ("second_attempts", b.second_attempts.to_string()),
            ("after_drain", b.after_drain.to_string()),
            ("pushed_over", b.pushed_over.to_string()),
            ("violations", self.violations.map_or("-".to_owned(), |n| n.to_string())),
        ]
    }

    /// The table's head, for CSV.
    pub fn head() -> String {
        let names: Vec<&str> = Report::default().fields().iter().map(|f| f.0).collect();
        names.join(",")
    }

    /// Its line, for CSV: names hold no commas.
    pub fn line(&self) -> String {
        let values: Vec<String> = self.fields().into_iter().map(|f| f.1).collect();
        values.join(",")
    }

    /// As a JSON object: figures as numbers, names as strings.
    pub fn json(&self) -> String {
        let value =
            |v: &str| v.parse::<f64>().map_or_else(|_| serde_json::Value::from(v), serde_json::Value::from);
        let map: serde_json::Map<String, serde_json::Value> =
            self.fields().iter().map(|(name, v)| ((*name).to_owned(), value(v))).collect();
        serde_json::Value::from(map).to_string()
    }
}

/// A chart could not be written.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct ChartError {
    /// The chart's file.
    pub path: PathBuf,
    /// What went wrong.
    pub source: Box<dyn std::error::Error>,
}

/// A line of a chart.
pub struct Series<'a> {
    /// What it shows.
    pub name: &'a str,
    /// By bucket.
    pub values: Vec<f64>,
}

/// Draws lines over time in buckets of [`BUCKET`], one panel below the other.
///
/// # Errors
/// Where the file cannot be written.
pub fn chart(path: &Path, title: &str, panels: &[(&str, Vec<Series<'_>>)]) -> Result<(), ChartError> {
    draw(path, title, panels).map_err(|source| ChartError { path: path.to_owned(), source })
}

fn draw(
    path: &Path,
    title: &str,
    panels: &[(&str, Vec<Series<'_>>)],
) -> Result<(), Box<dyn std::error::Error>> {
    /// Colours of a panel's lines, in their order.
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
        let n = lines.iter().map(|l| l.values.len()).max().unwrap_or(1);
        let top = lines.iter().flat_map(|l| &l.values).fold(1.0f64, |a, b| a.max(*b));
        let seconds = n as f64 * BUCKET.as_secs_f64();
        let mut chart = ChartBuilder::on(area)
            .caption(*name, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds, 0.0..top * 1.05)?;
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
