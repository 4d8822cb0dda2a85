//! Translation between the bench's wire and the module's interface; no decision is made here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod read;
mod write;

pub use basaltgw_config::{settings, BadInput, Names};
pub use read::{event, Message};
pub use write::action;

use basaltgw::{api::Action, routing::Router};
use basaltgw_config::value::number;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// One router: its names for zones, classes and kinds, and its module instance.
struct Instance {
    names: Names,
    router: Router,
}

/// All routers of this process; they share nothing.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
}

impl Host {
    /// Answers one line of input with one line of output.
    pub fn batch(&mut self, line: &str) -> Result<String, BadInput> {
        let batch: Value =
            serde_json::from_str(line).map_err(|e| BadInput::new("batch", format!("not JSON: {e}")))?;
        let now = number(&batch["now"], "now")?;
        let events =
            batch["events"].as_array().ok_or_else(|| BadInput::new("events", "expected an array"))?;
        let mut decisions = Vec::new();
        let mut actions: Vec<Action> = Vec::new();
        for (place, value) in events.iter().enumerate() {
            let at = |e: BadInput| e.within(&format!("events[{place}]"));
            let message = read::Message::new(value).map_err(at)?;
            let number = message.integer(1, "i").map_err(at)?;
            match message.name {
                "BEGIN" => {
                    let seed = message.integer(2, "nonce64").map_err(at)?;
                    let (names, settings) = settings(message.value(3)).map_err(at)?;
                    let router = Router::new(settings, seed);
                    self.instances.insert(number, Instance { names, router });
                }
                "RETIRE" => {
                    self.instances.remove(&number);
                }
                _ => {
                    let Some(instance) = self.instances.get_mut(&number) else {
                        return Err(at(BadInput::new("i", format!("instance {number} was never begun"))));
                    };
                    if let Some(event) = event(&message, &instance.names).map_err(at)? {
                        instance.router.handle(now, event, &mut actions);
                        decisions.extend(actions.drain(..).map(|a| action(number, a)));
                    }
                }
            }
        }
        Ok(json!({ "decisions": decisions }).to_string())
    }
}
