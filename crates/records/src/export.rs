//! Results for other programs.

use crate::store::Kept;
use std::fmt::Write;
use vetchkeel_lab::result::{Figures, RunResult};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// One line a run and command group, `all` among them.
    Csv,
    /// One line a run and second.
    CsvSeconds,
    /// All there is.
    Json,
}

fn quoted(text: &str) -> String {
    if text.contains([',', '"', '\n']) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.to_owned()
    }
}

fn paths(runs: &[RunResult]) -> Vec<String> {
    runs.first().map(|r| r.point.iter().map(|(path, _)| quoted(path)).collect()).unwrap_or_default()
}

fn head(run: &RunResult) -> Vec<String> {
    let point = run.point.iter().map(|(_, value)| quoted(value));
    point.chain([quoted(&run.decides), run.driver.clone(), run.seed.to_string()]).collect()
}

fn line(text: &mut String, parts: &[String]) {
    let _ = writeln!(text, "{}", parts.join(","));
}

/// The text of an export. Times in milliseconds.
pub fn export(kept: &Kept, form: Form) -> String {
    let mut text = String::new();
    let names = |more: &str| {
        let more = more.split(' ').map(str::to_owned);
        let fixed = ["decides", "driver", "seed"].map(str::to_owned);
        paths(&kept.runs).into_iter().chain(fixed).chain(more).collect::<Vec<String>>()
    };
    match form {
        Form::Json => {
            let summary = serde_json::to_value(&kept.summary).unwrap_or_default();
            let runs = serde_json::to_value(&kept.runs).unwrap_or_default();
            let document = serde_json::json!({ "id": kept.id, "experiment": summary, "runs": runs });
            let _ = writeln!(text, "{document:#}");
        }
        Form::Csv => {
            line(
                &mut text,
                &names(
                    "command_group asked in_target late throttled failed unanswered benefit mean_ms p50_ms p90_ms p99_ms \
                     p999_ms most_ms",
                ),
            );
            for run in &kept.runs {
                for group in std::iter::once(&run.all).chain(&run.groups) {
                    let Figures {
                        name,
                        asked,
                        in_target,
                        late,
                        throttled,
                        failed,
                        unanswered,
                        benefit,
                        latency_ms,
                    } = group;
                    let counts = [*asked, *in_target, *late, *throttled, *failed, *unanswered];
                    let l = latency_ms;
                    let figures = [*benefit, l.mean, l.p50, l.p90, l.p99, l.p999, l.most];
                    let mut parts = head(run);
                    parts.push(quoted(name));
                    parts.extend(counts.iter().map(u64::to_string));
                    parts.extend(figures.iter().map(|f| format!("{f:.4}")));
                    line(&mut text, &parts);
                }
            }
        }
        Form::CsvSeconds => {
            line(&mut text, &names("second asked in_target late throttled failed unanswered"));
            for run in &kept.runs {
                for (i, s) in run.every_second.iter().enumerate() {
                    let mut parts = head(run);
                    let counts =
                        [i as u64, s.asked, s.in_target, s.late, s.throttled, s.failed, s.unanswered];
                    parts.extend(counts.iter().map(u64::to_string));
                    line(&mut text, &parts);
                }
            }
        }
    }
    text
}
