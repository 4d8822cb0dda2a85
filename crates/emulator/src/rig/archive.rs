//! The archive behind the stand-in caches. It executes and counts every checkout that reaches a cache, and makes the copies of objects that
//! caches serve.

use super::history::{Event, History};
use crate::standin::{unix_ms, Cache, FetchBehaviour, ReceivedFetch};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The request class of checkouts in the stand-ins' configuration.
pub const CHECKOUT_CLASS: &str = "loan";
/// The request class of reads in the stand-ins' configuration.
pub const READ_CLASS: &str = "pages";

#[derive(Default)]
struct State {
    /// Executions of each checkout, by its id.
    executions: BTreeMap<String, u64>,
    /// When each object was last copied, in Unix milliseconds. All parts of an object have the same version.
    copied_at_unix_ms: BTreeMap<String, u64>,
}

/// The archive that all caches fetch from.
#[derive(Clone)]
pub struct Archive {
    state: Arc<Mutex<State>>,
    /// The delay of the response to a checkout, in milliseconds. The checkout itself is executed on arrival.
    pub checkout_delay_ms: Arc<AtomicU64>,
    /// The delay of the response to a read, in milliseconds.
    pub read_delay_ms: Arc<AtomicU64>,
    history: History,
}

impl Archive {
    /// An archive that has executed nothing yet.
    pub fn new(history: History) -> Self {
        Self {
            state: Arc::default(),
            checkout_delay_ms: Arc::default(),
            read_delay_ms: Arc::default(),
            history,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// How often the checkout of this id was executed.
    pub fn executions(&self, id: &str) -> u64 {
        self.state().executions.get(id).copied().unwrap_or(0)
    }

    /// The number of checkouts that were executed, and the number of all executions.
    pub fn totals(&self) -> (u64, u64) {
        let state = self.state();
        (state.executions.len() as u64, state.executions.values().sum())
    }

    /// Starts a cache in front of the archive. The cache answers a read with its copy; if that is older than the fetch allows, it makes a
    /// new copy first.
    pub fn cache(&self) -> Cache {
        let archive = self.clone();
        Cache::start(move |fetch| match fetch.field("c") {
            Some(CHECKOUT_CLASS) => archive.execute_checkout(fetch),
            _ => archive.read(fetch),
        })
    }

    fn execute_checkout(&self, fetch: &ReceivedFetch) -> FetchBehaviour {
        let now = unix_ms();
        let execution = {
            let mut state = self.state();
            let executions = state.executions.entry(fetch.id.clone()).or_insert(0);
            *executions += 1;
            *executions
        };
        self.history.record(Event::Executed { id: fetch.id.clone() });
        let body = format!("receipt {} run {execution}", fetch.id).into_bytes();
        let delay_ms = self.checkout_delay_ms.load(Ordering::SeqCst);
        let fields = format!("ver=1,born={now},note=via_origin,waited=0");
        FetchBehaviour::OkWithFields { delay_ms, fields, body }
    }

    fn read(&self, fetch: &ReceivedFetch) -> FetchBehaviour {
        let object = fetch.field("k").unwrap_or("?").to_string();
        let part = format!("{object}/{}", fetch.field("p").unwrap_or("?"));
        let max_age_ms: f64 = fetch.field("oldest").and_then(|age| age.parse().ok()).unwrap_or(0.0);
        let copied_at = self.copy_no_older_than(object, max_age_ms);
        let delay_ms = self.read_delay_ms.load(Ordering::SeqCst);
        let fields = format!("ver={copied_at:x},born={copied_at},note=hit,waited=0");
        FetchBehaviour::OkWithFields { delay_ms, fields, body: copy_body(&part, copied_at) }
    }

    /// The creation time of the object's copy, in Unix milliseconds; a copy that is too old is replaced first. 0 allows any age.
    fn copy_no_older_than(&self, object: String, max_age_ms: f64) -> u64 {
        let now = unix_ms();
        let mut state = self.state();
        let copied_at = state.copied_at_unix_ms.entry(object).or_insert(now);
        if max_age_ms > 0.0 && now.saturating_sub(*copied_at) as f64 > max_age_ms {
            *copied_at = now;
        }
        *copied_at
    }
}

/// The body of a copy: the object and part, and when the copy was made.
fn copy_body(part: &str, copied_at: u64) -> Vec<u8> {
    format!("{part}@{copied_at}").into_bytes()
}

/// When the copy with this body was made, in Unix milliseconds; `None` if this is not the body of a copy.
pub fn copy_creation_ms(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.rsplit_once('@')?.1.parse().ok()
}
