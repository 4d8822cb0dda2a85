//! What processes have cost so far, as the kernel counts it, and what that is a router and a second.

use crate::process::Process;
use procfs::process::Process as Kernel;
use procfs::{Current, LoadAverage};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::process::Command;
use std::time::Instant;

/// Figures by name.
pub type Figures = BTreeMap<String, f64>;
/// A router's counters, and when they were told.
pub type Told = (Instant, HashMap<String, f64>);

/// Counters of the router that are given as so many a second and a router.
const RATES: [&str; 22] = [
    "peer_frames_out",
    "peer_bytes_out",
    "peer_frames_in",
    "commits",
    "commits_failed",
    "purges_from_peers",
    "unsent",
    "peer_unsent_full",
    "unkept_unasked",
    "ring_full",
    "ring_dropped",
    "holds_kept",
    "holds_stood",
    "holds_unkept_toofew",
    "holds_unkept_late",
    "holds_unkept_contended",
    "holds_unkept_full",
    "holds_rounds",
    "holds_rounds_short",
    "holds_messages",
    "holds_batches",
    "holds_records",
];
/// Counters that are given as they stand, as a mean.
const LEVELS: [&str; 4] = ["peers_up", "table_version", "holds", "peer_up"];
/// Threads of a router by name, and the first word of their columns; what has another name is `other`.
const THREADS: [(&str, &str); 4] =
    [("basaltgw", "main"), ("async-io", "async_io"), ("peers", "peers"), ("copies", "copies")];

/// What all the processes have cost so far.
pub struct Cost {
    at: Instant,
    /// By thread: time on a core in ns, time that it waited for one, and how often it went to sleep.
    threads: BTreeMap<&'static str, [f64; 3]>,
    /// Bytes written to the disk, calls that read and that wrote.
    io: [f64; 3],
    /// Bytes and packets on loopback, of whoever is on the machine.
    loopback: [f64; 2],
    /// Bytes and packets sent on links between routers, with the heads of TCP and IP; none where nobody tells.
    links: Option<[f64; 2]>,
}

/// The heads of a TCP segment with its time stamps, of IP and of Ethernet, in bytes.
const HEADS: f64 = 66.0;

/// What all ends of the links of a row of addresses have sent: the tool `ss` asks the kernel about each socket. Other parts of the
/// machine use loopback too, so its device alone does not tell.
fn links(row: Ipv4Addr) -> Option<[f64; 2]> {
    let filter = format!("src {row}/24 or dst {row}/24");
    let told = Command::new("ss").args(["-tinOH", "state", "established"]).arg(filter).output().ok()?;
    let text = String::from_utf8(told.stdout).ok().filter(|_| told.status.success())?;
    let sum = |name: &str| -> f64 {
        text.split_whitespace().filter_map(|w| w.strip_prefix(name)?.parse::<f64>().ok()).sum()
    };
    let packets = sum("segs_out:");
    Some([sum("bytes_sent:") + packets * HEADS, packets])
}

fn wrong(e: procfs::ProcError) -> String {
    format!("/proc: {e}")
}

fn kernel(process: &Process) -> Result<Kernel, String> {
    Kernel::new(process.id() as i32).map_err(wrong)
}

impl Cost {
    /// As it is now.
    ///
    /// # Errors
    /// If a process has ended, or `/proc` can't be read.
    pub fn now(routers: &[Process], row: Ipv4Addr) -> Result<Self, String> {
        let mut threads: BTreeMap<&'static str, [f64; 3]> = BTreeMap::new();
        let mut io = [0.0; 3];
        for router in routers {
            let process = kernel(router)?;
            for task in process.tasks().map_err(wrong)?.flatten() {
                let (stat, used) = (task.stat().map_err(wrong)?, task.schedstat().map_err(wrong)?);
                let sleeps = task.status().map_err(wrong)?.voluntary_ctxt_switches.unwrap_or(0);
                let known = THREADS.iter().find(|(name, _)| *name == stat.comm);
                let sum = threads.entry(known.map_or("other", |(_, word)| word)).or_default();
                let more = [used.sum_exec_runtime as f64, used.run_delay as f64, sleeps as f64];
                sum.iter_mut().zip(more).for_each(|(sum, more)| *sum += more);
            }
            let counted = process.io().map_err(wrong)?;
            let more = [counted.write_bytes as f64, counted.syscr as f64, counted.syscw as f64];
            io.iter_mut().zip(more).for_each(|(sum, more)| *sum += more);
        }
        let devices = procfs::net::dev_status().map_err(wrong)?;
        let lo = devices.get("lo").map_or([0.0; 2], |d| [d.recv_bytes as f64, d.recv_packets as f64]);
        Ok(Self { at: Instant::now(), threads, io, loopback: lo, links: links(row) })
    }

    /// Time on cores in ns, of all.
    pub fn cpu_ns(&self) -> f64 {
        self.threads.values().map(|t| t[0]).sum()
    }

    /// What was used since, a router and a second, and what is held now.
    ///
    /// # Errors
    /// See [`Cost::now`].
    pub fn since(&self, before: &Self, routers: &[Process]) -> Result<Figures, String> {
        let (many, seconds) = (routers.len() as f64, (self.at - before.at).as_secs_f64());
        let each = |now: f64, then: f64| (now - then) / many / seconds;
        let mut row = Figures::from([("seconds".to_string(), seconds)]);
        let mut sums = [0.0; 3];
        for (name, now) in &self.threads {
            let then = before.threads.get(name).copied().unwrap_or_default();
            let used: Vec<f64> = now.iter().zip(then).map(|(now, then)| each(*now, then)).collect();
            sums.iter_mut().zip(&used).for_each(|(sum, used)| *sum += used);
            row.insert(format!("cpu_{name}_percent"), used[0] / 1e7);
            row.insert(format!("sleeps_{name}_per_s"), used[2]);
        }
        let load = LoadAverage::current().map_err(wrong)?;
        let (mut memory, mut descriptors) = (0.0, 0.0);
        for router in routers {
            let process = kernel(router)?;
            memory += process.status().map_err(wrong)?.vmrss.unwrap_or(0) as f64;
            descriptors += process.fd_count().map_err(wrong)? as f64;
        }
        let named = [
            ("cpu_percent", sums[0] / 1e7),
            ("waited_for_cpu_percent", sums[1] / 1e7),
            ("sleeps_per_s", sums[2]),
            ("disk_bytes_per_s", each(self.io[0], before.io[0])),
            ("read_calls_per_s", each(self.io[1], before.io[1])),
            ("write_calls_per_s", each(self.io[2], before.io[2])),
            ("loopback_bytes_per_s", each(self.loopback[0], before.loopback[0])),
            ("loopback_packets_per_s", each(self.loopback[1], before.loopback[1])),
            ("memory_mb", memory / 1024.0 / many),
            ("descriptors", descriptors / many),
            ("load_1m", f64::from(load.one)),
        ];
        row.extend(named.map(|(name, value)| (name.to_string(), value)));
        if let Some((now, then)) = self.links.zip(before.links) {
            row.insert("links_bytes_out_per_s".into(), each(now[0], then[0]));
            row.insert("links_packets_out_per_s".into(), each(now[1], then[1]));
        }
        Ok(row)
    }
}

/// What the routers' own counters say of the time between, a router and a second.
pub fn counters(before: &[Told], after: &[Told]) -> Figures {
    let mut row = Figures::new();
    let many = after.len() as f64;
    for name in RATES {
        let each = before.iter().zip(after).map(|((then, old), (now, new))| {
            let value = |of: &HashMap<String, f64>| of.get(name).copied().unwrap_or(0.0);
            (value(new) - value(old)) / (*now - *then).as_secs_f64()
        });
        row.insert(format!("{name}_per_s"), each.sum::<f64>() / many);
    }
    for name in LEVELS {
        let all: f64 = after.iter().filter_map(|(_, told)| told.get(name)).sum();
        row.insert(name.to_string(), all / many);
    }
    row
}
