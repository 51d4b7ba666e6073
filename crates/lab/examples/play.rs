//! Plays one experiment file simulated, with its first seed, and prints figures and speed.
fn main() {
    let path = std::env::args().nth(1).expect("a file");
    let e = vetchkeel_lab::experiment::Experiment::read(path.as_ref()).unwrap_or_else(|w| {
        eprintln!("{w}");
        std::process::exit(2)
    });
    for point in &e.points {
        let since = std::time::Instant::now();
        let r = vetchkeel_lab::sim::simulate(&point.setup, e.seeds[0]).expect("runs");
        let took = since.elapsed().as_secs_f64();
        println!(
            "{:?} share {:.4} benefit {:.4} asked {} sends {:?}\n happened {:?} broken {:?}",
            point.values,
            r.all.share(),
            r.all.benefit,
            r.all.asked,
            r.sends,
            r.happened,
            r.breach_counts
        );
        for g in &r.groups {
            println!(
                "  {} {:.4} thr {} fail {} un {} late {} p50 {:.1} p99 {:.1}",
                g.name,
                g.share(),
                g.throttled,
                g.failed,
                g.unanswered,
                g.late,
                g.latency_ms.p50,
                g.latency_ms.p99
            );
        }
        for b in r.breaches.iter().take(5) {
            println!("  {} {}", b.rule, b.text);
        }
        println!("  {:.2} s, {:.0} commands a second", took, r.all.asked as f64 / took);
    }
}
