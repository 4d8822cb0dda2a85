//! Translates between the simulator's JSON protocol and the decision module's interface; decides nothing.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decode;
mod encode;

pub use basaltgw_config::{parse_settings, FieldError, WireNames};
pub use decode::{decode_event, Message};
pub use encode::encode_action;

use basaltgw::{api::Action, routing::Router};
use basaltgw_config::value::number;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// A router, and the names of its zones, classes and roles in the protocol.
struct Instance {
    names: WireNames,
    router: Router,
}

/// All routers of this process, by instance number; they share nothing.
#[derive(Default)]
pub struct RouterHost {
    instances: BTreeMap<u64, Instance>,
}

impl RouterHost {
    /// Handles one line of input, a batch of events at one time, and returns the line of output with the
    /// resulting actions.
    ///
    /// # Errors
    /// [`FieldError`] with the field at fault. Events before it have been handled.
    pub fn handle_batch(&mut self, line: &str) -> Result<String, FieldError> {
        let batch: Value =
            serde_json::from_str(line).map_err(|e| FieldError::new("batch", format!("not JSON: {e}")))?;
        let now = number(&batch["now"], "now")?;
        let expected = || FieldError::new("events", format!("expected an array, found {}", batch["events"]));
        let events = batch["events"].as_array().ok_or_else(expected)?;
        let mut decisions = Vec::new();
        for (index, value) in events.iter().enumerate() {
            self.handle(now, value, &mut decisions).map_err(|e| e.within(&format!("events[{index}]")))?;
        }
        Ok(json!({ "decisions": decisions }).to_string())
    }

    /// Handles one event and appends the resulting actions.
    fn handle(&mut self, now: f64, value: &Value, decisions: &mut Vec<Value>) -> Result<(), FieldError> {
        let message = Message::new(value)?;
        let number = message.integer(1, "i")?;
        match message.name {
            "BEGIN" => {
                let seed = message.integer(2, "nonce64")?;
                let (names, settings) = parse_settings(message.value(3))?;
                let router = Router::new(settings, seed);
                self.instances.insert(number, Instance { names, router });
            }
            "RETIRE" => {
                self.instances.remove(&number);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(&number) else {
                    return Err(FieldError::new("i", format!("instance {number} was never begun")));
                };
                if let Some(event) = decode_event(&message, &instance.names)? {
                    let mut actions: Vec<Action> = Vec::new();
                    instance.router.handle(now, event, &mut actions);
                    decisions.extend(actions.into_iter().map(|action| encode_action(number, action)));
                }
            }
        }
        Ok(())
    }
}
