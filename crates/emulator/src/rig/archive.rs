//! The archive behind the stand-in caches: every effect that arrives anywhere runs here and is counted by its id; objects have copies.

use super::history::{Event, History};
use crate::standin::{unix_ms, Cache, FetchBehaviour, ReceivedFetch};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The class of checkouts, in the stand-ins' configuration.
pub const CHECKOUT_CLASS: &str = "loan";
/// The class of reads.
pub const READ_CLASS: &str = "pages";

#[derive(Default)]
struct Kept {
    /// Runs by id.
    runs: BTreeMap<String, u64>,
    /// When the copies of each object's parts were made, in Unix milliseconds: an object has one version, whatever part is asked for.
    copies: BTreeMap<String, u64>,
}

/// What all caches stand before.
#[derive(Clone)]
pub struct Archive {
    kept: Arc<Mutex<Kept>>,
    /// How long an effect takes to answer, in milliseconds; it runs when it arrives.
    pub effect_duration_ms: Arc<AtomicU64>,
    /// The same of a read.
    pub read_duration_ms: Arc<AtomicU64>,
    history: History,
}

impl Archive {
    /// An archive that nothing has run at.
    pub fn new(history: History) -> Self {
        Self {
            kept: Arc::default(),
            effect_duration_ms: Arc::default(),
            read_duration_ms: Arc::default(),
            history,
        }
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Runs of an id.
    pub fn executions(&self, id: &str) -> u64 {
        self.kept().runs.get(id).copied().unwrap_or(0)
    }

    /// Ids that ran, and runs in all.
    pub fn totals(&self) -> (u64, u64) {
        let kept = self.kept();
        (kept.runs.len() as u64, kept.runs.values().sum())
    }

    /// A cache before it: a copy that is younger than the fetch asks for does, else one is made.
    pub fn cache(&self) -> Cache {
        let archive = self.clone();
        Cache::start(move |fetch| archive.answer(fetch))
    }

    fn answer(&self, fetch: &ReceivedFetch) -> FetchBehaviour {
        let now = unix_ms();
        if fetch.field("c") == Some(CHECKOUT_CLASS) {
            let run = {
                let mut kept = self.kept();
                let runs = kept.runs.entry(fetch.id.clone()).or_insert(0);
                *runs += 1;
                *runs
            };
            self.history.record(Event::Executed { id: fetch.id.clone() });
            let body = format!("receipt {} run {run}", fetch.id).into_bytes();
            let ms = self.effect_duration_ms.load(Ordering::SeqCst);
            return FetchBehaviour::OkWithFields {
                delay_ms: ms,
                fields: format!("ver=1,born={now},note=via_origin,waited=0"),
                body,
            };
        }
        let object = fetch.field("k").unwrap_or("?").to_string();
        let key = format!("{object}/{}", fetch.field("p").unwrap_or("?"));
        let oldest: f64 = fetch.field("oldest").and_then(|o| o.parse().ok()).unwrap_or(0.0);
        let born = {
            let mut kept = self.kept();
            let born = kept.copies.entry(object).or_insert(now);
            if oldest > 0.0 && now.saturating_sub(*born) as f64 > oldest {
                *born = now;
            }
            *born
        };
        let ms = self.read_duration_ms.load(Ordering::SeqCst);
        let fields = format!("ver={born:x},born={born},note=hit,waited=0");
        FetchBehaviour::OkWithFields { delay_ms: ms, fields, body: copy(&key, born) }
    }
}

/// The bytes of a copy: what it is of, and when it was made.
fn copy(key: &str, born: u64) -> Vec<u8> {
    format!("{key}@{born}").into_bytes()
}

/// When the copy was made whose bytes these are, in Unix milliseconds; `None` if they are no such bytes.
pub fn copy_creation_ms(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.rsplit_once('@')?.1.parse().ok()
}
