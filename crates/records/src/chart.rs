//! Charts as SVG: latency by percentile, what became of commands over time, load of each member, and curves of a sweep.

use crate::measure::{MEASURES, Points, by_point, point_text, spread};
use plotters::prelude::*;
use vetchkeel_lab::result::{Percentiles, RunResult, Second};

/// A chart: its name and its SVG text.
pub struct Charted {
    pub name: String,
    pub svg: String,
}

const SIZE: (u32, u32) = (900, 480);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 96, 39),
    RGBColor(44, 140, 80),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(90, 90, 90),
];

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn drawn(
    name: &str,
    draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, plotters::coord::Shift>) -> Drawn,
) -> Result<Charted, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        draw(&area).map_err(|e| format!("chart {name}: {e}"))?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(Charted { name: name.to_owned(), svg })
}

/// All charts of an experiment's runs.
pub fn charts(runs: &[RunResult]) -> Result<Vec<Charted>, String> {
    let mut charts = Vec::new();
    let points = by_point(runs);
    for (i, (point, runs)) in points.iter().enumerate().take(8) {
        let name = |what: &str| if points.len() > 1 { format!("{what}-{}", i + 1) } else { what.to_owned() };
        let title = point_text(point);
        charts.push(latency(&name("latency"), &title, runs)?);
        charts.push(over_time(&name("over-time"), &title, runs)?);
        charts.push(members(&name("members"), &title, runs)?);
    }
    let paths: Vec<String> =
        points.first().map(|p| p.0.iter().map(|v| v.0.clone()).collect()).unwrap_or_default();
    for (i, path) in paths.iter().enumerate() {
        charts.extend(sweep(i, path, &points)?);
    }
    Ok(charts)
}

const STEPS: [(f64, &str); 7] =
    [(0.0, "50"), (1.0, "75"), (2.0, "90"), (3.0, "95"), (4.0, "99"), (5.0, "99.9"), (6.0, "100")];

fn steps(p: &Percentiles) -> [f64; 7] {
    [p.p50, p.p75, p.p90, p.p95, p.p99, p.p999, p.most]
}

fn latency(name: &str, title: &str, runs: &[&RunResult]) -> Result<Charted, String> {
    let groups: Vec<&str> = runs[0].groups.iter().map(|g| g.name.as_str()).collect();
    let of = |i: usize| -> Vec<(f64, f64)> {
        let all: Vec<[f64; 7]> =
            runs.iter().filter_map(|r| r.groups.get(i)).map(|g| steps(&g.latency_ms)).collect();
        let mean = |step: usize| all.iter().map(|s| s[step]).sum::<f64>() / all.len().max(1) as f64;
        STEPS.iter().enumerate().map(|(step, (x, _))| (*x, mean(step).max(0.1))).collect()
    };
    let lines: Vec<(&str, Vec<(f64, f64)>)> = groups.iter().enumerate().map(|(i, g)| (*g, of(i))).collect();
    let values = || lines.iter().flat_map(|l| l.1.iter().map(|p| p.1));
    let (low, high) = (values().fold(f64::MAX, f64::min), values().fold(1.0, f64::max));
    drawn(name, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("Latency by percentile - {title}"), ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..6.0, (low.min(high) * 0.8..high * 1.2).log_scale())?;
        let label =
            |x: &f64| STEPS.iter().find(|s| (s.0 - x).abs() < 0.01).map_or(String::new(), |s| s.1.to_owned());
        chart
            .configure_mesh()
            .x_labels(7)
            .x_label_formatter(&label)
            .x_desc("percent")
            .y_desc("ms, from the due time")
            .draw()?;
        for (i, (group, line)) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))?
                .label(*group)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .position(SeriesLabelPosition::UpperLeft)
            .draw()?;
        Ok(())
    })
}

fn over_time(name: &str, title: &str, runs: &[&RunResult]) -> Result<Charted, String> {
    let seconds = runs.iter().map(|r| r.every_second.len()).max().unwrap_or(0);
    let mean = |of: fn(&Second) -> u64| -> Vec<(f64, f64)> {
        (0..seconds)
            .map(|i| {
                let sum: u64 = runs.iter().filter_map(|r| r.every_second.get(i)).map(of).sum();
                (i as f64 + 0.5, sum as f64 / runs.len() as f64)
            })
            .collect()
    };
    let lines: [(&str, Vec<(f64, f64)>); 4] = [
        ("asked", mean(|s| s.asked)),
        ("answered in target", mean(|s| s.in_target)),
        ("throttled", mean(|s| s.throttled)),
        ("late, failed or unanswered", mean(|s| s.late + s.failed + s.unanswered)),
    ];
    let high = lines.iter().flat_map(|l| l.1.iter().map(|p| p.1)).fold(1.0, f64::max);
    drawn(name, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("Commands by the second in which they were asked - {title}"), ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..seconds.max(1) as f64, 0.0..high * 1.15)?;
        chart.configure_mesh().x_desc("s").y_desc("commands a second").draw()?;
        for (i, (what, line)) in lines.iter().enumerate() {
            let colour = [COLOURS[5], COLOURS[2], COLOURS[1], COLOURS[3]][i];
            chart
                .draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))?
                .label(*what)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .position(SeriesLabelPosition::UpperRight)
            .draw()?;
        Ok(())
    })
}

fn members(name: &str, title: &str, runs: &[&RunResult]) -> Result<Charted, String> {
    let count = runs.iter().map(|r| r.per_member.len()).max().unwrap_or(0);
    let busy = |i: usize| {
        let all: Vec<f64> = runs.iter().filter_map(|r| r.per_member.get(i)).map(|m| m.busy).collect();
        all.iter().sum::<f64>() / all.len().max(1) as f64
    };
    let set = |i: usize| runs[0].per_member.get(i).map_or(0, |m| m.set);
    let high = (0..count).map(busy).fold(0.1, f64::max);
    drawn(name, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("Load of each member, one colour a set - {title}"), ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..count.max(1) as f64, 0.0..high * 1.15)?;
        chart.configure_mesh().disable_x_mesh().x_desc("member").y_desc("part of its cores").draw()?;
        chart.draw_series((0..count).map(|i| {
            let colour = COLOURS[set(i) % COLOURS.len()];
            Rectangle::new([(i as f64 + 0.1, 0.0), (i as f64 + 0.9, busy(i))], colour.filled())
        }))?;
        Ok(())
    })
}

/// Curves over one swept value, where it is a number; one line for each combination of the others.
fn sweep(at: usize, path: &str, points: &Points<'_>) -> Result<Vec<Charted>, String> {
    let number = |text: &str| {
        text.parse::<f64>().ok().or_else(|| vetchkeel_lab::micros_of(text).map(|m| m as f64 / 1e3))
    };
    if points.iter().any(|(p, _)| p.get(at).is_none_or(|v| number(&v.1).is_none())) {
        return Ok(Vec::new());
    }
    let mut lines: Vec<(String, Vec<usize>)> = Vec::new();
    for (i, (point, _)) in points.iter().enumerate() {
        let others: Vec<(String, String)> =
            point.iter().enumerate().filter(|(j, _)| *j != at).map(|(_, v)| v.clone()).collect();
        let label = if others.is_empty() { String::new() } else { point_text(&others) };
        match lines.iter_mut().find(|l| l.0 == label) {
            Some(line) => line.1.push(i),
            None => lines.push((label, vec![i])),
        }
    }
    let x_of = |i: usize| number(&points[i].0[at].1).unwrap_or(0.0);
    let xs = || (0..points.len()).map(x_of);
    let (left, right) = (xs().fold(f64::MAX, f64::min), xs().fold(f64::MIN, f64::max));
    let mut charts = Vec::new();
    for (m, measure) in MEASURES
        .iter()
        .enumerate()
        .filter(|(_, m)| ["answered in target", "99th percentile"].contains(&m.name))
    {
        let value = |i: usize| spread(&points[i].1.iter().map(|r| (measure.of)(r)).collect::<Vec<f64>>());
        let high =
            (0..points.len()).map(|i| value(i).mean + value(i).half.unwrap_or(0.0)).fold(0.0, f64::max);
        let name = format!("sweep-{}-{}", at + 1, m + 1);
        charts.push(drawn(&name, |area| {
            let mut chart = ChartBuilder::on(area)
                .caption(format!("{} over {path}", measure.name), ("sans-serif", 18))
                .margin(12)
                .x_label_area_size(40)
                .y_label_area_size(70)
                .build_cartesian_2d(left..right.max(left + 1e-9), 0.0..high * 1.1 + 1e-9)?;
            chart.configure_mesh().x_desc(path).y_desc(measure.unit).draw()?;
            for (i, (label, line)) in lines.iter().enumerate() {
                let colour = COLOURS[i % COLOURS.len()];
                let mut order = line.clone();
                order.sort_by(|a, b| x_of(*a).total_cmp(&x_of(*b)));
                let edge =
                    |i: usize, sign: f64| (x_of(i), value(i).mean + sign * value(i).half.unwrap_or(0.0));
                let band: Vec<(f64, f64)> = order
                    .iter()
                    .map(|i| edge(*i, 1.0))
                    .chain(order.iter().rev().map(|i| edge(*i, -1.0)))
                    .collect();
                chart.draw_series(std::iter::once(Polygon::new(band, colour.mix(0.15))))?;
                let series = chart.draw_series(LineSeries::new(
                    order.iter().map(|i| edge(*i, 0.0)),
                    colour.stroke_width(2),
                ))?;
                if !label.is_empty() {
                    series.label(label).legend(move |(x, y)| {
                        PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
                    });
                }
            }
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.3))
                .draw()?;
            Ok(())
        })?);
    }
    Ok(charts)
}
