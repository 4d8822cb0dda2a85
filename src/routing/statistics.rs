//! What the decisions assume about requests: sending times, delays and shares of fills, by class and by
//! object.
//!
//! Inputs: outcomes of attempts, times in milliseconds. A sending time is what a response takes from an idle
//! cache; the delay is what a response took beyond it. Nothing is decided here.

use super::ranking::SHADOW_ENTRIES;
use super::slow_start::CostEstimate;
use crate::api::*;
use crate::averages::{MovingAverage, SAMPLE_WEIGHT};
use indexmap::IndexMap;

/// Number of responses of an object from which on its sending time is used.
const MIN_OBJECT_RESPONSES: u32 = 2;

/// Averages over the requests of a class.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassStatistics {
    latency_objective: Ms,
    /// How long a client waits for a response.
    pub deadline: Ms,
    /// Whether copies of the class's responses are cached.
    pub is_cached: bool,
    /// Mean delay of served requests, and its mean deviation.
    pub delay: MovingAverage,
    pub delay_deviation: MovingAverage,
    pub sending_time: MovingAverage,
    /// Cost of an attempt in slow start.
    pub cost: CostEstimate,
    /// Logarithm of the latency of hits.
    pub hit_latency_log: MovingAverage,
    /// Share of responses that needed a fill.
    pub fill_share: MovingAverage,
}

impl ClassStatistics {
    fn record_delay(&mut self, delay: Ms) {
        self.delay_deviation.add((delay - self.delay.get().unwrap_or(0.0)).abs(), SAMPLE_WEIGHT);
        self.delay.add(delay, SAMPLE_WEIGHT);
    }

    fn mean_sending_time(&self) -> Ms {
        self.sending_time.get().unwrap_or(self.latency_objective)
    }
}

/// What is known of an object.
#[derive(Clone, Copy, Debug)]
struct ObjectStatistics {
    /// The rank of its first part, which its later parts share.
    rank: Rank,
    /// Shortest time in which a part was sent, and the second shortest.
    shortest: Ms,
    second_shortest: Ms,
    responses: u32,
}

impl Default for ObjectStatistics {
    fn default() -> Self {
        Self { rank: Rank::Low, shortest: 0.0, second_shortest: f64::INFINITY, responses: 0 }
    }
}

impl ObjectStatistics {
    fn record(&mut self, sending_time: Ms) {
        (self.shortest, self.second_shortest) = match self.responses {
            0 => (sending_time, f64::INFINITY),
            _ if sending_time < self.shortest => (sending_time, self.shortest),
            _ => (self.shortest, self.second_shortest.min(sending_time)),
        };
        self.responses += 1;
    }

    /// The cost of a part: the second shortest time, so that one wrong measurement does not make it too low.
    fn cost(&self) -> Ms {
        if self.responses > 1 {
            self.second_shortest
        } else {
            self.shortest
        }
    }
}

/// The statistics of all classes and of the objects requested most recently.
pub(super) struct Statistics {
    classes: Vec<ClassStatistics>,
    objects: IndexMap<ObjectId, ObjectStatistics>,
    response_rate_kb_per_s: f64,
    /// Share of fills that reached the origin.
    pub origin_fill_share: MovingAverage,
}

impl Statistics {
    /// Statistics without samples.
    pub fn new(settings: &Settings) -> Self {
        let class_statistics = |class: &Class| ClassStatistics {
            latency_objective: class.latency_objective,
            deadline: class.deadline,
            is_cached: !class.uncacheable,
            ..ClassStatistics::default()
        };
        Self {
            classes: settings.classes.iter().map(class_statistics).collect(),
            objects: IndexMap::new(),
            response_rate_kb_per_s: settings.response_rate_kb_per_s,
            origin_fill_share: MovingAverage::default(),
        }
    }

    /// All classes, in the order of the settings.
    pub fn classes(&self) -> impl Iterator<Item = &ClassStatistics> {
        self.classes.iter()
    }

    /// All classes, to be changed, in the order of the settings.
    pub fn classes_mut(&mut self) -> impl Iterator<Item = &mut ClassStatistics> {
        self.classes.iter_mut()
    }

    /// The averages of a class.
    pub fn class(&self, class: ClassId) -> &ClassStatistics {
        &self.classes[class.0]
    }

    /// The averages of a class, to be changed.
    pub fn class_mut(&mut self, class: ClassId) -> &mut ClassStatistics {
        &mut self.classes[class.0]
    }

    /// The rank of an object's first part, if the object is known.
    pub fn rank(&self, object: ObjectId) -> Option<Rank> {
        self.objects.get(&object).map(|known| known.rank)
    }

    /// Records the rank of an object's first part. Beyond `SHADOW_ENTRIES` objects, the one requested least
    /// recently is removed.
    pub fn set_rank(&mut self, object: ObjectId, rank: Rank) {
        let known = self.objects.shift_remove(&object).unwrap_or_default();
        self.objects.insert(object, ObjectStatistics { rank, ..known });
        if self.objects.len() > SHADOW_ENTRIES {
            self.objects.shift_remove_index(0);
        }
    }

    /// Records an outcome of a request.
    pub fn record(&mut self, class: ClassId, request: &Request, outcome: &Outcome) {
        // Only a complete response shows how long sending takes.
        if outcome.result == AttemptResult::Served && outcome.body_complete {
            let sending_time = self.sending_time(request).unwrap_or(0.0);
            self.classes[class.0].record_delay((outcome.latency - sending_time).max(0.0));
            let from_copy = outcome.fill_report == FillReport::Hit || is_filled(outcome);
            if let Some(object) = self.objects.get_mut(&request.object).filter(|_| from_copy) {
                object.record((outcome.latency - outcome.source_wait).max(1.0));
                self.classes[class.0].sending_time.add(object.shortest, SAMPLE_WEIGHT);
            }
        }
    }

    /// The cost of a request's object in slow start; `None` before its first response.
    pub fn object_cost(&self, request: &Request) -> Option<Ms> {
        let known = self.objects.get(&request.object).filter(|object| object.responses > 0);
        known.map(ObjectStatistics::cost)
    }

    /// Records whether a served request of a class needed a fill, if the outcome reports it.
    pub fn record_fill(&mut self, class: ClassId, outcome: &Outcome) {
        let share = match outcome.fill_report {
            FillReport::Hit => 0.0,
            FillReport::FilledBySource | FillReport::FilledByOrigin => 1.0,
            _ => return,
        };
        if outcome.result == AttemptResult::Served {
            self.classes[class.0].fill_share.add(share, SAMPLE_WEIGHT);
        }
    }

    /// The sending time of a request's response: by its size if known, else the shortest of its object.
    pub fn sending_time(&self, request: &Request) -> Option<Ms> {
        if request.size_kb > 0.0 && self.response_rate_kb_per_s > 0.0 {
            return Some(request.size_kb / self.response_rate_kb_per_s * 1000.0);
        }
        let known = self.objects.get(&request.object);
        known.filter(|object| object.responses >= MIN_OBJECT_RESPONSES).map(|object| object.shortest)
    }

    /// The mean sending time of a class; its latency objective before the first sample.
    pub fn mean_sending_time(&self, class: ClassId) -> Ms {
        self.class(class).mean_sending_time()
    }

    /// The longest mean sending time of a class with samples; 0 if there is none.
    pub fn longest_mean_sending_time(&self) -> Ms {
        self.classes().filter_map(|class| class.sending_time.get()).fold(0.0, f64::max)
    }
}

/// Whether a cache has filled its copy for this outcome.
pub(super) fn is_filled(outcome: &Outcome) -> bool {
    matches!(outcome.fill_report, FillReport::FilledBySource | FillReport::FilledByOrigin)
}
