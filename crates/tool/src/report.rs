//! The report of a load run: one HTML file with plots in it.

use std::fmt::Write;

use plotters::prelude::*;
use tanagergauge_core::Outcome;

use crate::tally::{ClassTally, Row, Spread, Tally};

/// Size of a plot, in pixels.
const PLOT: (u32, u32) = (860, 320);

/// Points of a distribution's curve.
const CURVE_POINTS: usize = 200;

/// Times shown on a logarithmic axis begin here, in milliseconds.
const MIN_MS: f64 = 0.1;

/// Style of the page.
const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:920px;\
color:#1d2733}h1{font-size:1.5rem;margin-bottom:.2rem}h2{font-size:1.1rem;margin-top:2.2rem}\
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}\
th,td{padding:.3rem .55rem;text-align:right;border-bottom:1px solid #dde3ea}\
th{font-weight:600;color:#51606f}td:first-child,th:first-child{text-align:left}\
.sum{color:#51606f}.bar{display:inline-block;height:.55rem;border-radius:3px;background:#2a7f62}\
.rest{background:#e3b7a8}svg{max-width:100%;height:auto}";

/// The report as one HTML page.
pub(crate) fn html(tally: &Tally, rows: &[Row]) -> String {
    let mut page = String::new();
    let title = escape(&tally.sheet);
    let _ = write!(
        page,
        "<!doctype html><html lang=en><meta charset=utf-8><title>Load on {title}</title>\
         <style>{STYLE}</style><h1>Load on {title}</h1>{}{}",
        summary(tally),
        attainment(tally),
    );
    section(&mut page, "Time to the first token", &curves(tally, rows, |it| it.first_ms));
    section(&mut page, "Time to the whole answer", &curves(tally, rows, |it| Some(it.whole_ms)));
    section(&mut page, "Outcomes over time", &outcomes(rows));
    page.push_str(&reasons(tally));
    page.push_str("</html>\n");
    page
}

fn section(page: &mut String, title: &str, content: &str) {
    let _ = write!(page, "<h2>{title}</h2>{content}");
}

fn summary(tally: &Tally) -> String {
    let mut text = format!(
        "<p class=sum>{} requests in {:.1} s at {:.1} a second, {:.2} times the capacity of the \
         engines, seed {}. Goodput {:.0} of at most {:.0} tokens a second.",
        tally.sent,
        tally.duration_s,
        tally.rate_per_s,
        tally.times_capacity,
        tally.seed,
        tally.goodput_tokens_per_s,
        tally.bound_tokens_per_s,
    );
    if let Some(engines) = &tally.engines {
        let _ = write!(
            text,
            " Of {} generated tokens {:.2} % were wasted; {} bytes went to another region.",
            engines.generated_tokens, engines.wasted_percent, engines.cross_region_bytes,
        );
    }
    text.push_str("</p>");
    text
}

fn attainment(tally: &Tally) -> String {
    let mut text = String::from(
        "<h2>Attainment by class</h2><table><tr><th>class<th>tier<th>sent<th>answered<th>not run\
         <th>unknown<th>attained<th><th>first p50<th>p99<th>whole p50<th>p99</tr>",
    );
    for class in &tally.classes {
        text.push_str(&class_line(class));
    }
    text.push_str("</table>");
    text
}

fn class_line(class: &ClassTally) -> String {
    let times = |it: &Spread| format!("<td>{:.0} ms<td>{:.0} ms", it.p50_ms, it.p99_ms);
    format!(
        "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.1} %<td>{}{}{}</tr>",
        escape(&class.class),
        escape(&class.tier),
        class.sent,
        class.answered,
        class.not_run,
        class.unknown,
        class.attained_percent,
        bar(class.attained_percent),
        times(&class.first),
        times(&class.whole),
    )
}

fn bar(percent: f64) -> String {
    let rest = 100.0 - percent;
    format!(
        "<span class=bar style=\"width:{percent:.0}px\"></span>\
         <span class=\"bar rest\" style=\"width:{rest:.0}px\"></span>"
    )
}

fn reasons(tally: &Tally) -> String {
    if tally.reasons.is_empty() {
        return String::new();
    }
    let mut text =
        String::from("<h2>Requests without an answer</h2><table><tr><th>class<th>reason<th>count");
    for (class, reasons) in &tally.reasons {
        for (reason, count) in reasons {
            let _ = write!(text, "<tr><td>{}<td>{}<td>{count}", escape(class), escape(reason));
        }
    }
    text.push_str("</table>");
    text
}

/// For each class, the part of its answers that took at most a time.
fn curves(tally: &Tally, rows: &[Row], time_ms: impl Fn(&Row) -> Option<f64>) -> String {
    let mut lines = Vec::new();
    for class in &tally.classes {
        let answered =
            rows.iter().filter(|it| it.class == class.class && it.outcome == Outcome::Answered);
        let mut times_ms: Vec<f64> = answered.filter_map(&time_ms).collect();
        times_ms.sort_by(f64::total_cmp);
        if !times_ms.is_empty() {
            lines.push((class.class.to_string(), curve(&times_ms)));
        }
    }
    plot(|area| draw_curves(area, &lines))
}

fn curve(sorted_ms: &[f64]) -> Vec<(f64, f64)> {
    let last = sorted_ms.len() - 1;
    let point = |i: usize| {
        let part = i as f64 / CURVE_POINTS as f64;
        (sorted_ms[(part * last as f64) as usize].max(MIN_MS), part * 100.0)
    };
    (0..=CURVE_POINTS).map(point).collect()
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type Drawn = Result<(), Box<dyn std::error::Error>>;

fn plot(draw: impl FnOnce(&Area<'_>) -> Drawn) -> String {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, PLOT).into_drawing_area();
    let drawn = draw(&area);
    drop(area);
    match drawn {
        Ok(()) => svg,
        Err(error) => format!("<p>no plot: {}</p>", escape(&error.to_string())),
    }
}

fn draw_curves(area: &Area<'_>, lines: &[(String, Vec<(f64, f64)>)]) -> Drawn {
    let points = || lines.iter().flat_map(|it| &it.1);
    let max_ms = points().map(|it| it.0).fold(MIN_MS * 10.0, f64::max) * 1.1;
    let min_ms = points().map(|it| it.0).fold(max_ms / 2.0, f64::min);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d((min_ms..max_ms).log_scale(), 0f64..100f64)?;
    chart.configure_mesh().x_desc("ms").y_desc("% of answers").light_line_style(WHITE).draw()?;
    for (i, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color.stroke_width(3)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}

/// Requests by second due, split by what became of them.
fn outcomes(rows: &[Row]) -> String {
    let last_s = rows.iter().map(|it| (it.due_ms / 1e3) as usize).max().unwrap_or(0);
    let mut seconds = vec![[0u32; KINDS.len()]; last_s + 1];
    for row in rows {
        seconds[(row.due_ms / 1e3) as usize][kind(row)] += 1;
    }
    let most = seconds.iter().map(|it| it.iter().sum::<u32>()).max().unwrap_or(0);
    plot(|area| draw_outcomes(area, &seconds, most))
}

/// What the bars of the outcomes show, with their colors.
const KINDS: [(&str, RGBColor); 4] = [
    ("attained", RGBColor(42, 127, 98)),
    ("answered late", RGBColor(214, 170, 70)),
    ("not run", RGBColor(160, 170, 182)),
    ("unknown", RGBColor(192, 72, 56)),
];

fn kind(row: &Row) -> usize {
    match row.outcome {
        Outcome::Answered if row.attained => 0,
        Outcome::Answered => 1,
        Outcome::NotRun => 2,
        Outcome::Unknown => 3,
    }
}

fn draw_outcomes(area: &Area<'_>, seconds: &[[u32; KINDS.len()]], most: u32) -> Drawn {
    let end_s = seconds.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0f64..end_s, 0f64..f64::from(most.max(1)) * 1.05)?;
    chart.configure_mesh().x_desc("s").y_desc("requests").light_line_style(WHITE).draw()?;
    for (i, (name, color)) in KINDS.into_iter().enumerate() {
        let bar = |(second, counts): (usize, &[u32; KINDS.len()])| {
            let below: u32 = counts[..i].iter().sum();
            let (x, y) = (second as f64, f64::from(below));
            let top = y + f64::from(counts[i]);
            Rectangle::new([(x + 0.05, y), (x + 0.95, top)], color.filled())
        };
        chart
            .draw_series(seconds.iter().enumerate().map(bar))?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
