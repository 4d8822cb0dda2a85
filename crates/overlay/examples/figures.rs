//! What an overlay of that many routers costs: simulated, loads and times of words said at a rate. Arguments: regions, routers of each,
//! control machines, words a second, seconds.

#[path = "../tests/net/mod.rs"]
mod net;

use basaltgw_overlay::{Event, Kind, Settings, Shape};
use net::{listed, Network};

fn main() {
    let arg = |at: usize, or: usize| std::env::args().nth(at).and_then(|a| a.parse().ok()).unwrap_or(or);
    let (regions, each, control) = (arg(1, 21), arg(2, 204), arg(3, 9));
    let (rate, seconds) = (arg(4, 100), arg(5, 20));
    let keep = Settings { retention_ms: 30_000.0, ..Settings::default() };
    let mut net = Network::new(listed(regions, each, control), Shape::default(), keep, 1);
    let n = net.nodes.len();
    let settled = net.run_until(60_000.0, |n| n.all_caught_up(5000.0));
    println!("{n} routers, settled {settled} after {:.1} s", net.now / 1000.0);
    net.run(10_000.0);
    let bytes = |net: &Network, i: usize| {
        let c = net.nodes[i].as_ref().expect("a running router").counters().clone();
        (c.bytes_sent, c.bytes_received, c.frames_sent, c.frames_received)
    };
    let mut start: Vec<_> = (0..n).map(|i| bytes(&net, i)).collect();
    let figures = |net: &Network, start: &[(u64, u64, u64, u64)], seconds: f64, what: &str| {
        let rate = |a: u64, b: u64| (a - b) as f64 / seconds;
        let mut both: Vec<(f64, usize, f64, f64, f64)> = (0..n)
            .map(|i| {
                let (now, was) = (bytes(net, i), start[i]);
                let (out, into) = (rate(now.0, was.0), rate(now.1, was.1));
                (out + into, i, out, into, rate(now.2 + now.3, was.2 + was.3))
            })
            .collect();
        both.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mean = both.iter().map(|b| b.0).sum::<f64>() / n as f64;
        println!("{what}: both ways mean {mean:.0} B/s, p99 {:.0}, most:", both[n / 100].0);
        for (sum, i, out, into, frames) in both.iter().take(4) {
            let links = net.nodes[*i].as_ref().map_or(0, |o| o.links().count());
            println!(
                "  {} {sum:.0} B/s (out {out:.0}, in {into:.0}, {frames:.0} frames/s, {links} links)",
                net.listed[*i].router
            );
        }
    };
    net.run(10_000.0);
    figures(&net, &start, 10.0, "at rest");
    start = (0..n).map(|i| bytes(&net, i)).collect();
    let counted = |net: &Network| -> Vec<[u64; 5]> {
        let five = |c: &basaltgw_overlay::Counters| {
            [c.sent, c.fetches, c.duplicate_numbers, c.lagging_primaries, c.primary_changes]
        };
        net.nodes.iter().flatten().map(|o| five(o.counters())).collect()
    };
    let before = counted(&net);
    // As a change log brings them: every router knows each word within half a second.
    let mut published = Vec::new();
    for tick in 0..seconds * rate {
        let update = format!("purge/{:08}/catalogue/{:05}", 17_000_000 + tick, tick * 7919 % 100_000);
        published.push((update, net.now));
        net.run(1000.0 / rate as f64);
        let back = rate / 4;
        if tick >= back {
            let update = published[tick - back].0.as_bytes().to_vec();
            for i in 0..control {
                net.event(i, Event::AlreadyKnown(Kind::Purge, update.clone()));
            }
        }
    }
    figures(&net, &start, seconds as f64, "with words that all control machines know");
    net.run(10_000.0);
    let delivered = &published[..published.len() - rate / 4];
    let (mut times, mut not) = (Vec::new(), 0);
    for i in control..n {
        for (update, at) in delivered {
            match net.observed[i].deliveries.get(update.as_bytes()) {
                Some((_, when)) => times.push(when - at),
                None => not += 1,
            }
        }
    }
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied().unwrap_or(f64::NAN);
    println!(
        "not told {not}, twice {}, p50 {:.0} ms, p99 {:.0}, last {:.0} (250 ms of that until they are known)",
        !net.has_no_duplicates(),
        at(0.5),
        at(0.99),
        at(1.0 - 1e-9)
    );
    let sum = |f: fn(&basaltgw_overlay::Counters) -> u64| {
        net.nodes.iter().flatten().map(|o| f(o.counters())).sum::<u64>()
    };
    let grown: Vec<[u64; 5]> =
        counted(&net).iter().zip(&before).map(|(a, b)| std::array::from_fn(|i| a[i] - b[i])).collect();
    println!(
        "[sent, fetches, again, grafts, changes of the primary link] of control machines {:?}",
        &grown[..control]
    );
    let all: Vec<u64> = (0..5).map(|k| grown.iter().map(|g| g[k]).sum()).collect();
    println!("of all {all:?}");
    println!("said {}, told {}, again {}, same {}, fetches {}, gaps {}, gone {}, grafts {}, differed {}, vectors {}, eager refused {}, full {}, waited {}, crossed {}",
        sum(|c| c.published), sum(|c| c.delivered), sum(|c| c.duplicate_numbers), sum(|c| c.duplicate_contents), sum(|c| c.fetches), sum(|c| c.gaps), sum(|c| c.unavailable), sum(|c| c.lagging_primaries),
        sum(|c| c.differing_digests), sum(|c| c.vectors), sum(|c| c.pushes_rejected), sum(|c| c.links_rejected), sum(|c| c.budget_waits[0]), sum(|c| c.received_from_other_regions));
    let most = net.nodes.iter().flatten().map(|o| o.state_sizes().retained_bytes).max();
    let without =
        net.nodes.iter().flatten().filter(|o| !o.links().any(|link| link.is_parent && link.pushes)).count();
    println!("without words at once from above {without}");
    println!("most links {}, most bytes of words {most:?}, simulated", net.most_links);
}
