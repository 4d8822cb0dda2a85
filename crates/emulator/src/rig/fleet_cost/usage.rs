//! The resources that the routers' processes have used, as the kernel counts them, and the figures per router and second.

use crate::process::Process;
use procfs::process::Process as KernelProcess;
use procfs::{Current, LoadAverage};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::process::Command;
use std::time::Instant;

/// Figures by name.
pub type Figures = BTreeMap<String, f64>;

/// Counters of the routers that become rates, per router and second.
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
/// Counters of the routers whose mean value becomes a figure.
const LEVELS: [&str; 4] = ["peers_up", "table_version", "holds", "peer_up"];
/// The names of a router's threads, each with its name in figures; other threads are added up as [`OTHER_THREADS`].
const THREADS: [(&str, &str); 4] =
    [("basaltgw", "main"), ("async-io", "async_io"), ("peers", "peers"), ("copies", "copies")];
/// The name in figures of threads that are not in [`THREADS`].
const OTHER_THREADS: &str = "other";
/// Headers of a TCP segment with time stamps, of IP and of Ethernet, in bytes.
const HEADER_BYTES: f64 = 66.0;
/// Nanoseconds on a core per second that are 1 % of a core.
const NS_PER_PERCENT: f64 = 1e7;

/// A router's counters with their time.
pub(super) struct CounterSample {
    pub(super) at: Instant,
    pub(super) counters: HashMap<String, f64>,
}

impl CounterSample {
    fn counter(&self, name: &str) -> f64 {
        self.counters.get(name).copied().unwrap_or(0.0)
    }
}

/// The CPU time and context switches of threads so far.
#[derive(Clone, Copy, Default)]
struct ThreadUsage {
    /// The time on a core, in ns.
    on_cpu_ns: f64,
    /// The time spent waiting for a core, in ns.
    waiting_ns: f64,
    /// The number of voluntary context switches.
    sleeps: f64,
}

impl ThreadUsage {
    fn from_task(task: &procfs::process::Task) -> Result<Self, String> {
        let schedule = task.schedstat().map_err(proc_error)?;
        let status = task.status().map_err(proc_error)?;
        Ok(Self {
            on_cpu_ns: schedule.sum_exec_runtime as f64,
            waiting_ns: schedule.run_delay as f64,
            sleeps: status.voluntary_ctxt_switches.unwrap_or(0) as f64,
        })
    }

    /// Combines each value with that of another usage.
    fn combine(self, other: Self, f: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            on_cpu_ns: f(self.on_cpu_ns, other.on_cpu_ns),
            waiting_ns: f(self.waiting_ns, other.waiting_ns),
            sleeps: f(self.sleeps, other.sleeps),
        }
    }

    fn plus(self, other: Self) -> Self {
        self.combine(other, |own, other| own + other)
    }
}

/// The bytes that processes have written to disk so far, and their calls to read and write.
#[derive(Clone, Copy, Default)]
struct IoUsage {
    disk_bytes: f64,
    read_calls: f64,
    write_calls: f64,
}

/// What a network interface or a set of links has transferred so far.
#[derive(Clone, Copy, Default)]
struct Traffic {
    bytes: f64,
    packets: f64,
}

/// The resources that all routers have used so far.
pub struct ResourceUsage {
    at: Instant,
    /// The usage of threads, by their name in figures.
    threads: BTreeMap<&'static str, ThreadUsage>,
    io: IoUsage,
    /// The traffic of the loopback interface, which the whole machine shares.
    loopback: Traffic,
    /// The traffic sent on the links between routers, including headers; `None` if `ss` is missing or fails.
    links: Option<Traffic>,
}

fn proc_error(e: procfs::ProcError) -> String {
    format!("reading /proc: {e}")
}

fn kernel_process(process: &Process) -> Result<KernelProcess, String> {
    KernelProcess::new(process.id() as i32).map_err(proc_error)
}

/// The traffic that the sockets of a subnet have sent, from the tool `ss`, which queries the kernel for each socket. The counters of the
/// loopback interface can't be used for this: they include the traffic of other processes.
fn link_traffic(subnet: Ipv4Addr) -> Option<Traffic> {
    let filter = format!("src {subnet}/24 or dst {subnet}/24");
    let output = Command::new("ss").args(["-tinOH", "state", "established"]).arg(filter).output().ok()?;
    let text = String::from_utf8(output.stdout).ok().filter(|_| output.status.success())?;
    let sum = |field: &str| -> f64 {
        let values = text.split_whitespace().filter_map(|word| word.strip_prefix(field)?.parse::<f64>().ok());
        values.sum()
    };
    let packets = sum("segs_out:");
    Some(Traffic { bytes: sum("bytes_sent:") + packets * HEADER_BYTES, packets })
}

fn loopback_traffic() -> Result<Traffic, String> {
    let devices = procfs::net::dev_status().map_err(proc_error)?;
    let loopback = devices.get("lo");
    Ok(loopback.map_or_else(Traffic::default, |device| Traffic {
        bytes: device.recv_bytes as f64,
        packets: device.recv_packets as f64,
    }))
}

impl ResourceUsage {
    /// Reads the usage until now.
    ///
    /// # Errors
    /// If a process has ended, or `/proc` can't be read.
    pub fn now(routers: &[Process], subnet: Ipv4Addr) -> Result<Self, String> {
        let mut threads: BTreeMap<&'static str, ThreadUsage> = BTreeMap::new();
        let mut io = IoUsage::default();
        for router in routers {
            let process = kernel_process(router)?;
            for task in process.tasks().map_err(proc_error)?.flatten() {
                let name = task.stat().map_err(proc_error)?.comm;
                let known = THREADS.iter().find(|(thread, _)| *thread == name);
                let sum = threads.entry(known.map_or(OTHER_THREADS, |(_, figure)| figure)).or_default();
                *sum = sum.plus(ThreadUsage::from_task(&task)?);
            }
            let counted = process.io().map_err(proc_error)?;
            io.disk_bytes += counted.write_bytes as f64;
            io.read_calls += counted.syscr as f64;
            io.write_calls += counted.syscw as f64;
        }
        let (loopback, at) = (loopback_traffic()?, Instant::now());
        Ok(Self { at, threads, io, loopback, links: link_traffic(subnet) })
    }

    /// The time on cores of all threads, in ns.
    pub fn cpu_ns(&self) -> f64 {
        self.threads.values().map(|thread| thread.on_cpu_ns).sum()
    }

    /// The figures since an earlier usage: what was used per router and second, and what is held now.
    ///
    /// # Errors
    /// If a process has ended, or `/proc` can't be read.
    pub fn since(&self, before: &Self, routers: &[Process]) -> Result<Figures, String> {
        let (router_count, seconds) = (routers.len() as f64, (self.at - before.at).as_secs_f64());
        let rate = |now: f64, before: f64| (now - before) / router_count / seconds;
        let mut figures = Figures::from([("seconds".to_string(), seconds)]);
        let mut all_threads = ThreadUsage::default();
        for (name, now) in &self.threads {
            let used = now.combine(before.threads.get(name).copied().unwrap_or_default(), rate);
            all_threads = all_threads.plus(used);
            figures.insert(format!("cpu_{name}_percent"), used.on_cpu_ns / NS_PER_PERCENT);
            figures.insert(format!("sleeps_{name}_per_s"), used.sleeps);
        }
        let load = LoadAverage::current().map_err(proc_error)?;
        let (memory_kb, descriptors) = memory_and_descriptors(routers)?;
        let named = [
            ("cpu_percent", all_threads.on_cpu_ns / NS_PER_PERCENT),
            ("waited_for_cpu_percent", all_threads.waiting_ns / NS_PER_PERCENT),
            ("sleeps_per_s", all_threads.sleeps),
            ("disk_bytes_per_s", rate(self.io.disk_bytes, before.io.disk_bytes)),
            ("read_calls_per_s", rate(self.io.read_calls, before.io.read_calls)),
            ("write_calls_per_s", rate(self.io.write_calls, before.io.write_calls)),
            ("loopback_bytes_per_s", rate(self.loopback.bytes, before.loopback.bytes)),
            ("loopback_packets_per_s", rate(self.loopback.packets, before.loopback.packets)),
            ("memory_mb", memory_kb / 1024.0 / router_count),
            ("descriptors", descriptors / router_count),
            ("load_1m", f64::from(load.one)),
        ];
        figures.extend(named.map(|(name, value)| (name.to_string(), value)));
        if let Some((now, before)) = self.links.zip(before.links) {
            figures.insert("links_bytes_out_per_s".into(), rate(now.bytes, before.bytes));
            figures.insert("links_packets_out_per_s".into(), rate(now.packets, before.packets));
        }
        Ok(figures)
    }
}

/// The resident memory in KiB, and the open descriptors, of all routers.
fn memory_and_descriptors(routers: &[Process]) -> Result<(f64, f64), String> {
    let (mut memory_kb, mut descriptors) = (0.0, 0.0);
    for router in routers {
        let process = kernel_process(router)?;
        memory_kb += process.status().map_err(proc_error)?.vmrss.unwrap_or(0) as f64;
        descriptors += process.fd_count().map_err(proc_error)? as f64;
    }
    Ok((memory_kb, descriptors))
}

/// The figures of the routers' own counters between two samples: rates per router and second, and mean levels.
pub(super) fn counter_figures(before: &[CounterSample], after: &[CounterSample]) -> Figures {
    let mut figures = Figures::new();
    let routers = after.len() as f64;
    for name in RATES {
        let rates = before.iter().zip(after).map(|(before, after)| {
            let seconds = (after.at - before.at).as_secs_f64();
            (after.counter(name) - before.counter(name)) / seconds
        });
        figures.insert(format!("{name}_per_s"), rates.sum::<f64>() / routers);
    }
    for name in LEVELS {
        let sum: f64 = after.iter().map(|sample| sample.counter(name)).sum();
        figures.insert(name.to_string(), sum / routers);
    }
    figures
}
