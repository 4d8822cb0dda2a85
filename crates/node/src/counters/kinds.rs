//! Counter and gauge types: a single thread writes them, as cheaply as plain numbers; other threads read them through a registry.

use prometheus_client::metrics::counter::{Atomic, Counter};
use prometheus_client::metrics::gauge::{self, Gauge as RegistryGauge};
use prometheus_client::registry::Registry;
use std::cell::Cell;
use std::fmt;
use std::marker::PhantomData;
use std::sync::atomic::{AtomicU64, Ordering};

/// An atomic number with a single writer, so that an increment needs no locked instruction.
#[derive(Debug, Default)]
struct SingleWriter(AtomicU64);

impl Atomic<u64> for SingleWriter {
    fn inc(&self) -> u64 {
        self.inc_by(1)
    }

    fn inc_by(&self, amount: u64) -> u64 {
        let before = self.get();
        self.0.store(before.wrapping_add(amount), Ordering::Relaxed);
        before
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A counter. It can't be cloned or shared between threads, so it has a single writer.
#[derive(Debug, Default)]
pub struct Count(Counter<u64, SingleWriter>, PhantomData<Cell<()>>);

impl Count {
    /// Adds 1.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds an amount.
    pub fn add(&self, amount: u64) {
        self.0.inc_by(amount);
    }

    /// Sets the value to a count that is kept in another place.
    pub fn set(&self, value: u64) {
        self.0.inner().0.store(value, Ordering::Relaxed);
    }

    /// The value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// A gauge. It can't be cloned or shared between threads, so it has a single writer.
#[derive(Debug, Default)]
pub struct Gauge<N>(RegistryGauge<N, AtomicU64>, PhantomData<Cell<()>>);

impl<N: PartialOrd + Copy> Gauge<N>
where
    AtomicU64: gauge::Atomic<N>,
{
    /// Sets the value.
    pub fn set(&self, value: N) {
        self.0.set(value);
    }

    /// Raises the value to at least this.
    pub fn raise(&self, value: N) {
        if value > self.get() {
            self.set(value);
        }
    }

    /// The value.
    pub fn get(&self) -> N {
        self.0.get()
    }
}

/// A value as it is formatted in the line of counters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Value {
    Integer(u64),
    /// Written with two decimal places.
    Decimal(f64),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer(n) => write!(f, "{n}"),
            Self::Decimal(number) => write!(f, "{number:.2}"),
        }
    }
}

/// A counter or gauge of a group.
pub(super) trait Metric {
    fn value(&self) -> Value;
    fn register(&self, registry: &mut Registry, name: &str, help: &str);
}

impl Metric for Count {
    fn value(&self) -> Value {
        Value::Integer(self.get())
    }

    fn register(&self, registry: &mut Registry, name: &str, help: &str) {
        registry.register(name, help, self.0.clone());
    }
}

impl Metric for Gauge<u64> {
    fn value(&self) -> Value {
        Value::Integer(self.get())
    }

    fn register(&self, registry: &mut Registry, name: &str, help: &str) {
        registry.register(name, help, self.0.clone());
    }
}

impl Metric for Gauge<f64> {
    fn value(&self) -> Value {
        Value::Decimal(self.get())
    }

    fn register(&self, registry: &mut Registry, name: &str, help: &str) {
        registry.register(name, help, self.0.clone());
    }
}

/// Defines a group: a struct of [`Count`]s and [`Gauge`]s. Each field has the name that it has in the log line and in the registry; its doc
/// comment is the help text.
macro_rules! group {
    (
        $(#[$about:meta])*
        $group:ident { $($(#[doc = $help:literal])+ $field:ident: $kind:ty = $name:literal,)+ }
    ) => {
        $(#[$about])*
        #[derive(Debug, Default)]
        pub struct $group { $($(#[doc = $help])+ pub $field: $kind,)+ }

        impl $group {
            /// The names and values, in the order of declaration.
            pub(super) fn named_values(&self) -> Vec<(&'static str, Value)> {
                vec![$(($name, self.$field.value()),)+]
            }

            pub(super) fn register(&self, registry: &mut Registry) {
                // The registry adds the full stop to each help text.
                $(self.$field.register(registry, $name, concat!($($help),+).trim().trim_end_matches('.'));)+
            }
        }
    };
}
pub(super) use group;
