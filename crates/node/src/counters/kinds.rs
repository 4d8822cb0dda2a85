//! What counts: on the owner's thread as cheap as a plain number, and readable from others by a registry.

use prometheus_client::metrics::counter::{Atomic, Counter};
use prometheus_client::metrics::gauge::{self, Gauge};
use prometheus_client::registry::Registry;
use std::cell::Cell;
use std::fmt;
use std::marker::PhantomData;
use std::sync::atomic::{AtomicU64, Ordering};

/// A number that one thread at a time adds to, and any may read: without the locked addition that many writers need.
#[derive(Debug, Default)]
struct OneWriter(AtomicU64);

impl Atomic<u64> for OneWriter {
    fn inc(&self) -> u64 {
        self.inc_by(1)
    }

    fn inc_by(&self, more: u64) -> u64 {
        let before = self.get();
        self.0.store(before.wrapping_add(more), Ordering::Relaxed);
        before
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts up. Neither cloned nor shared between threads, so that it has one writer.
#[derive(Debug, Default)]
pub struct Count(Counter<u64, OneWriter>, PhantomData<Cell<()>>);

impl Count {
    /// One more.
    pub fn one(&self) {
        self.more(1);
    }

    /// So many more.
    pub fn more(&self, many: u64) {
        self.0.inc_by(many);
    }

    /// So many by now, as counted elsewhere.
    pub fn reached(&self, many: u64) {
        self.0.inner().0.store(many, Ordering::Relaxed);
    }

    /// How many so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Goes up and down.
#[derive(Debug, Default)]
pub struct Level<N>(Gauge<N, AtomicU64>, PhantomData<Cell<()>>);

impl<N: PartialOrd + Copy> Level<N>
where
    AtomicU64: gauge::Atomic<N>,
{
    /// It is so much now.
    pub fn set(&self, now: N) {
        self.0.set(now);
    }

    /// The most so far is at least this.
    pub fn raise(&self, to: N) {
        if to > self.get() {
            self.set(to);
        }
    }

    /// How much it is.
    pub fn get(&self) -> N {
        self.0.get()
    }
}

/// A value as the line of counters has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Value {
    Whole(u64),
    Millis(f64),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(n) => write!(f, "{n}"),
            Self::Millis(ms) => write!(f, "{ms:.2}"),
        }
    }
}

/// What a group is made of.
pub(super) trait Kind {
    fn value(&self) -> Value;
    fn register(&self, registry: &mut Registry, word: &str, help: &str);
}

impl Kind for Count {
    fn value(&self) -> Value {
        Value::Whole(self.get())
    }

    fn register(&self, registry: &mut Registry, word: &str, help: &str) {
        registry.register(word, help, self.0.clone());
    }
}

impl Kind for Level<u64> {
    fn value(&self) -> Value {
        Value::Whole(self.get())
    }

    fn register(&self, registry: &mut Registry, word: &str, help: &str) {
        registry.register(word, help, self.0.clone());
    }
}

impl Kind for Level<f64> {
    fn value(&self) -> Value {
        Value::Millis(self.get())
    }

    fn register(&self, registry: &mut Registry, word: &str, help: &str) {
        registry.register(word, help, self.0.clone());
    }
}

/// Those that count one thing's doings: a struct of [`Count`]s and [`Level`]s, each with its word in the line, under which it is
/// registered too, with its documentation for help.
macro_rules! group {
    (
        $(#[$about:meta])*
        $group:ident { $($(#[doc = $help:literal])+ $field:ident: $kind:ty = $word:literal,)+ }
    ) => {
        $(#[$about])*
        #[derive(Debug, Default)]
        pub struct $group { $($(#[doc = $help])+ pub $field: $kind,)+ }

        impl $group {
            /// Its words and values, in the order in which they are declared.
            pub(super) fn words(&self) -> Vec<(&'static str, Value)> {
                vec![$(($word, self.$field.value()),)+]
            }

            pub(super) fn register(&self, registry: &mut Registry) {
                // The registry ends each help with a stop itself.
                $(self.$field.register(registry, $word, concat!($($help),+).trim().trim_end_matches('.'));)+
            }
        }
    };
}
pub(super) use group;
