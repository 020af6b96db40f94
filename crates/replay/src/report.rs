//! Renders a replay's summary as text, and as an HTML page with plots.

use crate::{
    summary::{Latency, Summary},
    world::World,
};
use plotters::{
    chart::ChartBuilder,
    prelude::{IntoDrawingArea, SVGBackend},
    series::LineSeries,
    style::{BLUE, Color, RED, RGBColor, WHITE},
};
use std::{error::Error, fmt::Write};

const PLOT_SIZE_PX: (u32, u32) = (960, 320);
/// Time that one point of a plot covers, in seconds.
const BIN_SECONDS: u64 = 5;

/// Renders the summary as text lines.
#[must_use]
pub fn text(summary: &Summary) -> String {
    let mut text = String::new();
    for promise in &summary.promises {
        let state = if promise.kept { "kept" } else { "BROKEN" };
        let first = promise.first.as_deref().unwrap_or_default();
        push_line(
            &mut text,
            &format!("promise {:<28} {state} {first}", promise.name),
        );
    }
    attainment(&mut text, summary);
    costs(&mut text, summary);
    for (name, count) in summary.counters.iter().chain(&summary.kv_calls) {
        push_line(&mut text, &format!("count {name} {count}"));
    }
    text
}

fn attainment(text: &mut String, summary: &Summary) {
    for (priority, one) in &summary.attainment {
        let figures = format!(
            "attainment {:<7} {:.4} (asked {}, ran {}, met {}, first late {}, tokens slow {})",
            priority.label(),
            one.share,
            one.asked,
            one.ran,
            one.met,
            one.late_first,
            one.late_gap
        );
        push_line(text, &figures);
    }
    let all = format!(
        "attainment all     {:.4}, {:.4} met per accelerator and second",
        summary.overall().share,
        summary.met_per_accelerator
    );
    push_line(text, &all);
    latency(text, "first token", &summary.first_token_ms);
    latency(text, "token gap", &summary.token_gap_ms);
}

fn latency(text: &mut String, name: &str, one: &Latency) {
    let figures = format!(
        "{name} ms: p50 {:.1}, p95 {:.1}, p99 {:.1}",
        one.p50, one.p95, one.p99
    );
    push_line(text, &figures);
}

fn costs(text: &mut String, summary: &Summary) {
    let engines = format!(
        "loads {}, of them moves {}, crashes {}, peak memory {:.3}",
        summary.loads, summary.moves, summary.crashes, summary.peak_memory
    );
    push_line(text, &engines);
    let tables = format!(
        "longest without a copy {:.1} s {}, table spread {:.2} s",
        summary.longest_missing.0, summary.longest_missing.1, summary.table_spread
    );
    push_line(text, &tables);
    let calls = format!(
        "key-value service: {:.1} writes and {:.1} reads a second; peers {:.0} bytes a second",
        summary.kv_per_second.0, summary.kv_per_second.1, summary.peer_bytes_per_second
    );
    push_line(text, &calls);
}

fn push_line(text: &mut String, line: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{}", line.trim_end());
}

/// Renders the summary and its plots as an HTML page that needs no other file.
///
/// # Errors
///
/// Fails if the plotting library does.
pub fn html(title: &str, world: &World, summary: &Summary) -> Result<String, Box<dyn Error>> {
    let asked = requests_per_second(world, |_| true);
    let ran = requests_per_second(world, crate::caller::Caller::ran);
    let late = slowest_first_tokens(world);
    Ok(format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{title}</title>\
         <style>body{{font-family:sans-serif;max-width:62em;margin:2em auto}}\
         pre{{background:#f4f4f4;padding:1em;overflow:auto}}</style>\
         <h1>{title}</h1>\
         <h2>Requests a second</h2><p>Asked in blue, of these answered in red.</p>{}\
         <h2>Slowest first token in milliseconds</h2>{}\
         <h2>Summary</h2><pre>{}</pre>",
        plot(&[(&asked, BLUE), (&ran, RED)])?,
        plot(&[(&late, BLUE)])?,
        text(summary)
    ))
}

/// Requests per second that started in each bin and satisfy a condition.
fn requests_per_second(
    world: &World,
    counts: impl Fn(&crate::caller::Caller) -> bool,
) -> Vec<(f64, f64)> {
    bins(world, |bin, caller| {
        if counts(caller) {
            *bin += 1.0;
        }
    })
    .into_iter()
    .map(|(at, count)| (at, count / seconds(BIN_SECONDS)))
    .collect()
}

fn slowest_first_tokens(world: &World) -> Vec<(f64, f64)> {
    bins(world, |bin, caller| {
        if let Some(first) = caller.first_byte_at {
            *bin = bin.max((first - caller.started).as_secs_f64() * 1_000.0);
        }
    })
}

fn bins(world: &World, mut add: impl FnMut(&mut f64, &crate::caller::Caller)) -> Vec<(f64, f64)> {
    let bin = |micros: u64| micros / 1_000_000 / BIN_SECONDS;
    let last = bin(world.now().as_micros());
    let mut values = vec![0.0; usize::try_from(last).unwrap_or(0) + 1];
    for caller in world.callers() {
        let index = usize::try_from(bin(caller.started.as_micros())).unwrap_or(0);
        add(&mut values[index], caller);
    }
    (0..)
        .zip(values)
        .map(|(index, value)| (seconds(index * BIN_SECONDS), value))
        .collect()
}

#[allow(clippy::cast_precision_loss)]
const fn seconds(value: u64) -> f64 {
    value as f64
}

fn plot(lines: &[(&Vec<(f64, f64)>, RGBColor)]) -> Result<String, Box<dyn Error>> {
    let points = || lines.iter().flat_map(|(line, _)| line.iter());
    let right = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..right, 0.0..top * 1.05)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for (line, colour) in lines {
            chart.draw_series(LineSeries::new(
                line.iter().copied(),
                colour.stroke_width(1),
            ))?;
        }
        area.present()?;
    }
    Ok(svg)
}
