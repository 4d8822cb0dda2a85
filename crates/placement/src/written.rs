//! The bytes of the table's register.

use crate::register::{follows, BadRegister, Next, Register, Stage, MOST_REGISTER};
use crate::steps::portions;
use crate::table::Table;
use basaltgw_types::RouterId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The bytes of a register.
#[derive(Serialize, Deserialize)]
struct Written {
    turn: u64,
    epoch: u64,
    table: Vec<u8>,
    next: Option<WrittenNext>,
}

#[derive(Serialize, Deserialize)]
struct WrittenNext {
    table: Vec<u8>,
    by: RouterId,
    stage: WrittenStage,
}

#[derive(Serialize, Deserialize)]
enum WrittenStage {
    Offered,
    Checked,
    Both(u16, bool),
}

impl Register {
    /// Its content from bytes.
    ///
    /// # Errors
    /// If they are too many, can't be read, hold what is no table, or contradict themselves.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, BadRegister> {
        if bytes.len() > MOST_REGISTER {
            return Err(BadRegister::Long(bytes.len()));
        }
        let written: Written = postcard::from_bytes(bytes)?;
        let need = |ok: bool, what| if ok { Ok(()) } else { Err(BadRegister::Content(what)) };
        need(written.epoch > 0 && written.turn >= written.epoch, "a turn and an epoch from 1 on")?;
        let table = Table::from_bytes(&written.table)?;
        let (next, stage) = match written.next {
            None => (None, Stage::Idle),
            Some(WrittenNext { table: bytes, by, stage }) => {
                need(basaltgw_types::parse_name(&by.0).is_ok(), "the name of who offered")?;
                let new = Table::from_bytes(&bytes)?;
                need(follows(&table, &new).is_ok(), "a next table that was made after the one that holds")?;
                let next = Next { steps: portions(&table, &new).len() as u16, table: Arc::new(new), by };
                let stage = match stage {
                    WrittenStage::Offered => Stage::Offered,
                    WrittenStage::Checked => Stage::Checked,
                    WrittenStage::Both(step, back) => Stage::Both { step, back },
                };
                if let Stage::Both { step, .. } = stage {
                    need(step < next.steps, "a step that is one of its steps")?;
                }
                (Some(next), stage)
            }
        };
        Ok(Self { turn: written.turn, epoch: written.epoch, table: Arc::new(table), next, stage })
    }

    /// Its bytes.
    ///
    /// # Errors
    /// None that is known: what is written is made of plain values in memory.
    pub fn to_bytes(&self) -> Result<Vec<u8>, BadRegister> {
        let stage = match self.stage {
            Stage::Idle | Stage::Offered => WrittenStage::Offered,
            Stage::Checked => WrittenStage::Checked,
            Stage::Both { step, back } => WrittenStage::Both(step, back),
        };
        let next = self.next.as_ref().map(|n| WrittenNext {
            table: n.table.bytes().to_vec(),
            by: n.by.clone(),
            stage,
        });
        let table = self.table.bytes().to_vec();
        Ok(postcard::to_stdvec(&Written { turn: self.turn, epoch: self.epoch, table, next })?)
    }
}
